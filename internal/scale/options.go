// Package scale runs a large fleet on one machine and measures the resources that each role uses. The controllers are
// real, one process each as in production. The workers are hollow: many share a process and speak the full worker
// protocol, but run no tasks. Users, state service and cloud are simulated in a process per region, called the world.
//
// Task starts, delays and violations are counted by the workers and users, never taken from a controller's own reports.
package scale

import (
	"errors"
	"fmt"
	"time"
)

// Profile selects the mean run time of tasks, and with it the rate of task starts.
type Profile string

// The profiles.
const (
	Peak     Profile = "peak"     // tasks run for 45 s
	Ordinary Profile = "ordinary" // as many tasks run at a time, each for three times as long
)

// Mean run times of a task.
const (
	peakTaskTime     = 45 * time.Second
	ordinaryTaskTime = 3 * peakTaskTime
)

// Limits holds the limits of a region's state service and cloud.
type Limits struct {
	StateRPS, StateWriteRPS float64
	StateValueKB            float64
	StateTxnOps             int
	StateLatency            time.Duration
	CloudRPS                float64
	CloudListLag            time.Duration
}

// WorkerTiming holds the time settings of the worker protocol.
type WorkerTiming struct{ Report, Lease, Cancel time.Duration }

// Options configures a run.
type Options struct {
	Workers, Controllers, Regions, Zones, Teams int

	Profile        Profile
	TasksPerWorker int           // mean number of tasks that run on a worker
	TaskTime       time.Duration // mean run time of a task; 0 for the profile's
	TasksPerJob    int           // mean number of tasks of an array job
	ReplacedPerDay float64       // workers of the fleet that stop and are replaced in a day
	ReplacedFaster float64       // factor on ReplacedPerDay
	CancelledShare float64       // fraction of array jobs that users cancel
	// LimitChangesPerDay is the number of changes of teams' limits in a day. Every region makes this many.
	LimitChangesPerDay float64
	Ramp, Duration     time.Duration // time under load before the first window, and length of the steady window
	Faults             []Fault
	Limits             Limits
	Timing             WorkerTiming
	Seed               uint64
	Report             string // path of the report file; no report if empty
	ControllerLimit    ControllerLimit
}

// ControllerLimit holds the resource limits in a controller's configuration.
type ControllerLimit struct {
	CPU   float64 // cores
	MemMB float64
	FDs   int // open files
}

// DefaultOptions returns the options for the target's peak load, in one region of an eighth of the target's size. The
// limits are those of a large deployment in the users' bench, repeated here so that the package does not depend on
// it.
func DefaultOptions() Options {
	return Options{
		Workers: 392, Controllers: 7, Regions: 1, Zones: 2, Teams: 170,
		Profile: Peak, TasksPerWorker: 16, TasksPerJob: 1000,
		ReplacedPerDay: 930, ReplacedFaster: 1, CancelledShare: 0.02, LimitChangesPerDay: 14_000,
		Ramp: 30 * time.Second, Duration: time.Minute,
		Limits: Limits{StateRPS: 70, StateWriteRPS: 25, StateValueKB: 32, StateTxnOps: 20,
			StateLatency: 2 * time.Millisecond, CloudRPS: 4, CloudListLag: 10 * time.Second},
		Timing:          WorkerTiming{Report: 8 * time.Second, Lease: 42 * time.Second, Cancel: 67 * time.Second},
		Seed:            1,
		ControllerLimit: ControllerLimit{CPU: 1, MemMB: 1024, FDs: 8000},
	}
}

// MeanTask returns the mean run time of a task.
func (o *Options) MeanTask() time.Duration {
	switch {
	case o.TaskTime > 0:
		return o.TaskTime
	case o.Profile == Ordinary:
		return ordinaryTaskTime
	}
	return peakTaskTime
}

// StartsPerSecond returns the rate of task starts that keeps TasksPerWorker tasks running on each worker.
func (o *Options) StartsPerSecond() float64 {
	return float64(o.Workers*o.TasksPerWorker) / o.MeanTask().Seconds()
}

// Validate returns all invalid options as one error. Each part names the flag.
func (o *Options) Validate() error {
	var errs []error
	checkInt := func(flag string, v, lowest, highest int) {
		if v < lowest || v > highest {
			errs = append(errs, fmt.Errorf("--%s = %d: must be from %d to %d", flag, v, lowest, highest))
		}
	}
	checkFloat := func(flag string, v, lowest, highest float64) {
		if !(v >= lowest && v <= highest) {
			errs = append(errs, fmt.Errorf("--%s = %v: must be from %v to %v", flag, v, lowest, highest))
		}
	}
	checkDuration := func(flag string, v, lowest, highest time.Duration) {
		if v < lowest || v > highest {
			errs = append(errs, fmt.Errorf("--%s = %v: must be from %v to %v", flag, v, lowest, highest))
		}
	}
	checkInt("regions", o.Regions, 1, 9)
	checkInt("workers", o.Workers, max(1, o.Regions), 60_000)
	checkInt("controllers", o.Controllers, max(1, o.Regions), 100)
	checkInt("zones", o.Zones, max(1, o.Regions), 50)
	checkInt("teams", o.Teams, 1, 1000)
	checkInt("tasks-per-worker", o.TasksPerWorker, 1, 64)
	checkInt("tasks-per-job", o.TasksPerJob, 1, 20_000)
	if o.Profile != Peak && o.Profile != Ordinary {
		errs = append(errs, fmt.Errorf("--profile = %q: must be %s or %s", o.Profile, Peak, Ordinary))
	}
	if o.TaskTime != 0 {
		checkDuration("task-time", o.TaskTime, time.Second, time.Hour)
	}
	checkFloat("replaced-per-day", o.ReplacedPerDay, 0, 1e6)
	checkFloat("replaced-faster", o.ReplacedFaster, 0, 1000)
	checkFloat("cancelled-share", o.CancelledShare, 0, 1)
	checkFloat("limit-changes-per-day", o.LimitChangesPerDay, 0, 1e6)
	checkDuration("ramp", o.Ramp, time.Second, time.Hour)
	checkDuration("for", o.Duration, time.Second, 24*time.Hour)
	checkFloat("limits.state_rps", o.Limits.StateRPS, 1, 1e6)
	checkFloat("limits.state_write_rps", o.Limits.StateWriteRPS, 1, 1e6)
	checkFloat("limits.state_value_kb", o.Limits.StateValueKB, 1, 1024)
	checkInt("limits.state_txn_ops", o.Limits.StateTxnOps, 4, 1000)
	checkDuration("limits.state_latency_ms", o.Limits.StateLatency, 0, time.Second)
	checkFloat("limits.cloud_rps", o.Limits.CloudRPS, 1, 1e4)
	checkDuration("limits.cloud_list_lag_s", o.Limits.CloudListLag, 0, 5*time.Minute)
	checkDuration("workers.report_s", o.Timing.Report, 500*time.Millisecond, 5*time.Minute)
	checkDuration("workers.lease_s", o.Timing.Lease, 2*time.Second, 10*time.Minute)
	checkDuration("workers.cancel_s", o.Timing.Cancel, o.Timing.Lease+2*time.Second, 20*time.Minute)
	return errors.Join(errs...)
}
