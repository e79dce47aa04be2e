package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime"
	"sync"
	"time"

	"github.com/prometheus/procfs"
)

// Environment is what a run needs from its caller.
type Environment struct {
	Binary  string // path of the honeylock program, which runs all child processes
	Version string
	Commit  string
	Log     *slog.Logger
	// Progress receives a status line every few seconds.
	Progress io.Writer
}

// UsageError reports invalid options. No process was started.
type UsageError struct{ Err error }

// Error returns the text of the underlying error.
func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *UsageError) Unwrap() error { return e.Err }

// runningRegion is a region with its processes.
type runningRegion struct {
	spec            RegionSpec
	hollow          *process
	world           *process
	hollowAddr      string
	worldAddr       string
	controllers     []*process
	files           []controllerFiles
	permanentlyLost map[int]bool // indexes of controllers that are not restarted in this run
}

// run is the state of one call of Run.
type run struct {
	options     Options
	environment Environment
	procFS      procfs.FS
	machine     machineCapacity
	starter     *starter
	configDir   string
	random      *rand.Rand
	regions     []*runningRegion
	report      *Report

	pendingRestarts sync.WaitGroup // controllers that are waiting to be restarted
	background      sync.WaitGroup // goroutines that run until the run's context ends

	progressMu sync.Mutex // serializes writes to Progress, which may not be safe for concurrent use

	// mu guards the processes of the regions and the meters, which the sampling goroutine reads.
	mu     sync.Mutex
	meters map[string]*meter
}

// steadyWindow is the name of the window without a fault.
const steadyWindow = "steady"

const (
	sampleInterval   = time.Second
	progressInterval = 5 * time.Second
	startTimeout     = time.Minute // limit until a region has a leader and all its controllers are healthy
)

// Run starts a fleet, puts load on it and measures it. All processes that it starts have ended when it returns.
func Run(ctx context.Context, options Options, env Environment) (*Report, error) {
	procFS, err := procfs.NewDefaultFS()
	if err != nil {
		return nil, fmt.Errorf("open the proc file system: %w", err)
	}
	machine, err := readMachine(procFS)
	if err != nil {
		return nil, err
	}
	if err := options.Validate(); err != nil {
		return nil, &UsageError{err}
	}
	if err := options.checkCapacity(machine); err != nil {
		return nil, &UsageError{err}
	}
	configDir, err := os.MkdirTemp("", "honeylock-scale-")
	if err != nil {
		return nil, fmt.Errorf("create the configuration directory: %w", err)
	}
	defer os.RemoveAll(configDir)
	r := &run{options: options, environment: env, procFS: procFS, machine: machine, starter: newStarter(),
		configDir: configDir, meters: map[string]*meter{}, random: rand.New(rand.NewPCG(options.Seed, 21)),
		report: &Report{Schema: SchemaVersion, Commit: env.Commit, Version: env.Version, At: time.Now().UTC(),
			Options: options, Machine: MachineFacts{CPUs: runtime.NumCPU(), MemoryMB: machine.memoryMB}}}
	defer close(r.starter.calls)
	defer r.stopAll()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if err := r.execute(ctx, cancel); err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, err
	}
	r.report.addVerdicts()
	if options.Report != "" {
		if err := r.report.writeFile(options.Report); err != nil {
			return nil, err
		}
	}
	return r.report, nil
}

// execute starts the fleet and its load, then measures the steady window and one window for each fault.
func (r *run) execute(ctx context.Context, cancel context.CancelCauseFunc) error {
	for _, spec := range r.options.regionSpecs() {
		if err := r.startRegion(ctx, spec); err != nil {
			return err
		}
	}
	r.background.Go(func() { r.monitor(ctx, cancel) })
	r.printProgress("%d processes started", len(r.processes()))
	if err := r.forEachRegion(func(region *runningRegion) error { return r.awaitHealthy(ctx, region) }); err != nil {
		return err
	}
	err := r.forEachRegion(func(region *runningRegion) error {
		return callControl(ctx, http.MethodPost, region.worldAddr, pathSeed, struct{}{}, nil)
	})
	if err != nil {
		return err
	}
	if err := r.forEachRegion(func(region *runningRegion) error {
		return callControl(ctx, http.MethodPost, region.worldAddr, pathLoad, struct{}{}, nil)
	}); err != nil {
		return err
	}
	r.background.Go(func() { r.replaceWorkers(ctx) })
	r.printProgress("%d workers are up; users start to submit jobs", r.options.Workers)
	if err := sleepContext(ctx, r.options.Ramp); err != nil {
		return err
	}
	if err := r.measureWindow(ctx, steadyWindow, r.options.Duration, nil); err != nil {
		return err
	}
	for _, f := range r.options.Faults {
		if err := r.measureWindow(ctx, string(f.Kind), faultWindow, &f); err != nil {
			return err
		}
	}
	return nil
}

// forEachRegion calls f for all regions concurrently and returns their errors joined.
func (r *run) forEachRegion(f func(*runningRegion) error) error {
	errs := make([]error, len(r.regions))
	var wg sync.WaitGroup
	for i, region := range r.regions {
		wg.Go(func() { errs[i] = f(region) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// printProgress writes a line to the progress output.
func (r *run) printProgress(format string, args ...any) {
	r.progressMu.Lock()
	defer r.progressMu.Unlock()
	fmt.Fprintf(r.environment.Progress, format+"\n", args...)
}

// monitor samples all processes and prints the progress. It cancels the run if a process exits unexpectedly or if
// the processes use more than half of the machine's memory.
func (r *run) monitor(ctx context.Context, cancel context.CancelCauseFunc) {
	sampleTicker, progressTicker := time.NewTicker(sampleInterval), time.NewTicker(progressInterval)
	defer sampleTicker.Stop()
	defer progressTicker.Stop()
	started := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sampleTicker.C:
			if err := r.sampleProcesses(); err != nil {
				cancel(err)
				return
			}
		case <-progressTicker.C:
			r.reportProgress(ctx, time.Since(started))
		}
	}
}

// sampleProcesses records the resource usage of all processes in their meters. It fails if a process has exited
// unexpectedly or if the processes use more than half of the machine's memory.
func (r *run) sampleProcesses() error {
	totalMB := 0.0
	for _, p := range r.processes() {
		if err := p.unexpectedExit(); err != nil {
			return err
		}
		usage, err := readSample(r.procFS, p.pid())
		if err != nil {
			continue // the process has just exited: the next call returns the error unless it was stopped on purpose
		}
		totalMB += float64(usage.rss) / (1 << 20)
		r.mu.Lock()
		r.meters[p.name].addSample(usage)
		r.mu.Unlock()
	}
	if half := r.machine.memoryMB / 2; totalMB > half {
		return fmt.Errorf("the processes use %.0f MB, more than half of this machine's memory (%.0f MB): run stopped",
			totalMB, half)
	}
	return nil
}

// reportProgress prints the fleet's current size, number of tasks and memory.
func (r *run) reportProgress(ctx context.Context, elapsed time.Duration) {
	up, running, starts, mb := 0, 0, int64(0), 0.0
	for _, region := range r.regions {
		var stats WorkersStats
		if callControl(ctx, http.MethodGet, region.hollowAddr, pathStats, nil, &stats) == nil {
			up, running, starts = up+stats.Up, running+stats.Running, starts+stats.Starts
		}
	}
	r.mu.Lock()
	for _, meter := range r.meters {
		mb += float64(meter.last.rss) / (1 << 20)
	}
	r.mu.Unlock()
	r.printProgress("%4.0f s  %d workers up, %d tasks running, %d started, %.0f MB", elapsed.Seconds(), up, running,
		starts, mb)
}

// replaceWorkers stops random workers at the rate of ReplacedPerDay times ReplacedFaster until the context ends.
func (r *run) replaceWorkers(ctx context.Context) {
	perSecond := r.options.ReplacedPerDay * r.options.ReplacedFaster / (24 * time.Hour).Seconds()
	if perSecond <= 0 {
		return
	}
	for {
		if sleepContext(ctx, time.Duration(r.random.ExpFloat64()/perSecond*float64(time.Second))) != nil {
			return
		}
		region := r.regions[r.random.IntN(len(r.regions))]
		if err := callControl(ctx, http.MethodPost, region.worldAddr, pathLose, LoseRequest{Count: 1}, nil); err != nil {
			r.environment.Log.Warn("failed to stop a worker", "region", region.spec.Name, "err", err)
		}
	}
}

// sleepContext waits for the duration. It returns the context's cause if the context ends first.
func sleepContext(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return nil
	}
}
