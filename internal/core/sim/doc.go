// Package sim holds a randomised test of the whole scheduler core. It runs controllers (election,
// dispatcher, shards, dependency tracking, drain plans) and users' requests against simulated workers
// and a simulated state service. Messages are lost, delayed and duplicated, processes crash or pause,
// and the network and the state service fail, under a simulated clock and with fixed seeds. Checks
// compare what workers run and what users are answered with the safety rules.
//
// A run is one simulation with one seed. A broken guard is a parameter that switches one protection
// off; tests use it to show that the checks notice its absence.
package sim
