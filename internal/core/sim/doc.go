// Package sim holds the randomised whole-system test of the cores: elections,
// dealers, shards and users' requests against simulated workers and a simulated
// state service, with lost and late messages, crashes, cuts and outages, under
// a fake clock and fixed seeds.
package sim
