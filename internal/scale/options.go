// Package scale plays a fleet on one machine: real controllers, one process each as they
// are deployed, beside hollow workers that share processes and keep to the whole protocol
// but for running anything. It measures what each role costs. What the workers and users
// count is counted on their side, never taken from a controller's word.
package scale

import (
	"errors"
	"fmt"
	"time"
)

// Profile is how fast tasks come and go.
type Profile string

// Profiles.
const (
	Peak     Profile = "peak"     // tasks run for 45 s
	Ordinary Profile = "ordinary" // as many run, each for three times as long
)

// Mean run times of a task.
const (
	peakTaskTime     = 45 * time.Second
	ordinaryTaskTime = 3 * peakTaskTime
)

// Limits of a region's state service and cloud.
type Limits struct {
	StateRPS, StateWriteRPS float64
	StateValueKB            float64
	StateTxnOps             int
	StateLatency            time.Duration
	CloudRPS                float64
	CloudListLag            time.Duration
}

// WorkerTiming is the workers' protocol settings.
type WorkerTiming struct{ Report, Lease, Cancel time.Duration }

// Options of a run.
type Options struct {
	Workers, Controllers, Regions, Zones, Teams int

	Profile        Profile
	TasksPerWorker int           // that run on a worker, on average
	TaskTime       time.Duration // mean run time; 0: the profile's
	TasksPerJob    int           // mean of an array
	ReplacedPerDay float64       // workers lost and replaced
	ReplacedFaster float64       // than in life
	CancelledShare float64       // of arrays
	// LimitChangesPerDay are changes of teams' limits, all of which each region applies.
	LimitChangesPerDay float64
	Ramp, Duration     time.Duration // before anything is measured, and while it is
	Faults             []Fault
	Limits             Limits
	Timing             WorkerTiming
	Seed               uint64
	Report             string // file; "" none
	ControllerLimit    ControllerLimit
}

// ControllerLimit is what a controller is told that it may use.
type ControllerLimit struct {
	CPU   float64 // of a core
	MemMB float64
	FDs   int
}

// Defaults are the target's peak in one region of an eighth of its size. The limits are
// restated from a large deployment of the users' bench, as figures of this run's own.
func Defaults() Options {
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

// MeanTask is the mean run time of a task.
func (o *Options) MeanTask() time.Duration {
	switch {
	case o.TaskTime > 0:
		return o.TaskTime
	case o.Profile == Ordinary:
		return ordinaryTaskTime
	}
	return peakTaskTime
}

// StartsPerSecond is how many tasks have to start so that as many run as are wanted.
func (o *Options) StartsPerSecond() float64 {
	return float64(o.Workers*o.TasksPerWorker) / o.MeanTask().Seconds()
}

// Check returns all mistakes, each naming its flag.
func (o *Options) Check() error {
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
