package dev

import (
	"fmt"
	"hash/fnv"
	"time"

	"honeylock/internal/config"
	"honeylock/internal/standin"
)

// The teams and zones of a trial cluster.
var (
	trialTeams = []config.Team{{Name: "batch", CPUs: 16, CPUsMax: 200}, {Name: "office", CPUs: 24, CPUsMax: 200}}
	trialZones = []string{"east", "west"}
)

// DefaultWorkload returns the jobs of a payroll at the end of a month: payslips with deadlines,
// transfers of a higher rank, and cleanup jobs of the lowest rank.
func DefaultWorkload() []Class {
	return []Class{
		{
			Name: "payslip", Team: "office", Rank: "standard", Image: "payslip-1", Tasks: 6, CPUs: 2, MemGB: 2, ImageGB: 1,
			RunS: 25, DeadlineS: 180, PerMinute: 8, AtStart: 3, Spot: true,
		},
		{
			Name: "transfer", Team: "office", Rank: "urgent", Image: "transfer-1", Tasks: 2, CPUs: 2, MemGB: 4, ImageGB: 0.5,
			RunS: 40, DeadlineS: 300, PerMinute: 2, AtStart: 1,
		},
		{
			Name: "tidy", Team: "batch", Rank: "idle", Image: "tidy-1", Tasks: 8, CPUs: 1, MemGB: 1, ImageGB: 1,
			RunS: 60, SaveEveryS: 10, SaveS: 1, PerMinute: 4, AtStart: 4, Spot: true, CancelledFraction: 0.1,
		},
	}
}

// TrialOptions returns the options of a trial cluster with machines of 8 CPUs in two zones. It starts with
// a number of workers, half of them on spot machines; the cloud rents out that many machines in
// each zone, of spot and of ordinary ones each. Boots, image fetches and runs take 1/speed of their
// normal time.
func TrialOptions(controllers, workers int, speed float64, seed uint64) Options {
	machineType := standin.MachineType{
		Label: "k8", Cpus: 8, MemGb: 32, LocalGb: 50, PullGbPerS: 0.5 * speed, Hourly: 0.5, MarketPrice: 0.2,
		ReadyS: 20 / speed, Yards: trialZones, MaxPerZone: workers,
	}
	options := Options{
		Controllers: controllers, Zones: trialZones, Teams: trialTeams, Types: []standin.MachineType{machineType},
		Report: 500 * time.Millisecond, Lease: 10 * time.Second, Cancel: 40 * time.Second, ListLag: time.Second,
		ListedAfterLoss: 3 * time.Second, CloudRPS: 10,
		Limits: standin.StoreLimits{RPS: 300, WriteRPS: 120, ValueKB: 16, TxnOps: 16},
		Seed:   seed, Tasks: standin.NewTaskRegistry(),
	}
	for i := range min(workers, 4) {
		n := (workers + 3 - i) / 4
		options.InitialMachines = append(options.InitialMachines, MachineGroup{Zone: trialZones[i%2], Spot: i >= 2, Count: n})
	}
	options.Tasks.RunTimeFactor = func(_ *standin.Job, task string) float64 { return EstimateError(task, seed) }
	return options
}

// EstimateError returns a task's run time divided by its estimate: 0.6 to 1.5, always the same for
// the same task and seed.
func EstimateError(task string, seed uint64) float64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d/%s", seed, task)
	return 0.6 + 0.9*float64(h.Sum64()%1000)/1000
}
