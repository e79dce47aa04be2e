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

// Environment of a run.
type Environment struct {
	Binary  string // of honeylock
	Version string
	Commit  string
	Log     *slog.Logger
	// Progress gets a line every few seconds.
	Progress io.Writer
}

// UsageError is a mistake in what was asked for: nothing was started.
type UsageError struct{ Err error }

func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the mistakes.
func (e *UsageError) Unwrap() error { return e.Err }

// region is a region that runs.
type region struct {
	spec        RegionSpec
	hollow      *process
	world       *process
	hollowAddr  string
	worldAddr   string
	controllers []*process
	configs     []files
	lost        map[int]bool // controllers that ended for good
}

// run is a run under way.
type run struct {
	o       Options
	env     Environment
	fs      procfs.FS
	machine machine
	start   *starter
	dir     string
	rng     *rand.Rand
	regions []*region
	report  *Report

	restarts   sync.WaitGroup // controllers that are to be started again
	background sync.WaitGroup // what goes on beside the measuring until the run's context ends

	telling sync.Mutex // of Progress, which need not be safe for several goroutines

	mu     sync.Mutex // of regions' processes and of meters: sampling goes on beside the rest
	meters map[string]*meter
}

// steadyWindow is the window without a fault.
const steadyWindow = "steady"

const (
	sampleEvery   = time.Second
	progressEvery = 5 * time.Second
	startPatience = time.Minute // for a leader, and for all machines to be up
)

// Run plays a fleet and measures it. All that it starts has ended when it returns.
func Run(ctx context.Context, o Options, env Environment) (*Report, error) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return nil, fmt.Errorf("figures of processes: %w", err)
	}
	m, err := thisMachine(fs)
	if err != nil {
		return nil, err
	}
	if err := o.Check(); err != nil {
		return nil, &UsageError{err}
	}
	if err := o.fits(m); err != nil {
		return nil, &UsageError{err}
	}
	dir, err := os.MkdirTemp("", "honeylock-scale-")
	if err != nil {
		return nil, fmt.Errorf("settings of controllers: %w", err)
	}
	defer os.RemoveAll(dir)
	r := &run{o: o, env: env, fs: fs, machine: m, start: newStarter(), dir: dir, meters: map[string]*meter{},
		rng: rand.New(rand.NewPCG(o.Seed, 21)),
		report: &Report{Schema: SchemaVersion, Commit: env.Commit, Version: env.Version, At: time.Now().UTC(), Options: o,
			Machine: MachineFacts{CPUs: runtime.NumCPU(), MemoryMB: m.memoryMB}}}
	defer close(r.start.work)
	defer r.end()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if err := r.play(ctx, cancel); err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, err
	}
	r.report.judge()
	if o.Report != "" {
		if err := r.report.write(o.Report); err != nil {
			return nil, err
		}
	}
	return r.report, nil
}

// play brings the fleet up, loads it, and measures window after window.
func (r *run) play(ctx context.Context, cancel context.CancelCauseFunc) error {
	for _, spec := range r.o.regions() {
		if err := r.startRegion(ctx, spec); err != nil {
			return err
		}
	}
	r.background.Go(func() { r.watch(ctx, cancel) })
	r.say("%d processes started", len(r.processes()))
	if err := r.each(func(g *region) error { return r.await(ctx, g) }); err != nil {
		return err
	}
	err := r.each(func(g *region) error {
		return control(ctx, http.MethodPost, g.worldAddr, pathSeed, struct{}{}, nil)
	})
	if err != nil {
		return err
	}
	if err := r.each(func(g *region) error {
		return control(ctx, http.MethodPost, g.worldAddr, pathLoad, struct{}{}, nil)
	}); err != nil {
		return err
	}
	r.background.Go(func() { r.replace(ctx) })
	r.say("%d workers are up, users begin", r.o.Workers)
	if err := sleep(ctx, r.o.Ramp); err != nil {
		return err
	}
	if err := r.measure(ctx, steadyWindow, r.o.Duration, nil); err != nil {
		return err
	}
	for _, f := range r.o.Faults {
		if err := r.measure(ctx, string(f.Kind), afterFault, &f); err != nil {
			return err
		}
	}
	return nil
}

// each does something in all regions at once.
func (r *run) each(f func(*region) error) error {
	errs := make([]error, len(r.regions))
	var all sync.WaitGroup
	for i, g := range r.regions {
		all.Go(func() { errs[i] = f(g) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// say writes a line of progress.
func (r *run) say(format string, args ...any) {
	r.telling.Lock()
	defer r.telling.Unlock()
	fmt.Fprintf(r.env.Progress, format+"\n", args...)
}

// watch samples all processes, and stops the run if one ends by itself or if they take
// more than half of the machine's memory.
func (r *run) watch(ctx context.Context, cancel context.CancelCauseFunc) {
	sampled, told := time.NewTicker(sampleEvery), time.NewTicker(progressEvery)
	defer sampled.Stop()
	defer told.Stop()
	began := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sampled.C:
			if err := r.sample(); err != nil {
				cancel(err)
				return
			}
		case <-told.C:
			r.progress(ctx, time.Since(began))
		}
	}
}

// sample reads all processes' figures.
func (r *run) sample() error {
	total := 0.0
	for _, p := range r.processes() {
		if err := p.crashed(); err != nil {
			return err
		}
		s, err := sampleOf(r.fs, p.pid())
		if err != nil {
			continue // it ended just now: told the next time, unless it was to
		}
		total += float64(s.rss) / (1 << 20)
		r.mu.Lock()
		r.meters[p.name].take(s)
		r.mu.Unlock()
	}
	if half := r.machine.memoryMB / 2; total > half {
		return fmt.Errorf("the processes take %.0f MB, more than half of this machine's memory (%.0f MB): stopped",
			total, half)
	}
	return nil
}

func (r *run) progress(ctx context.Context, since time.Duration) {
	up, running, starts, mb := 0, 0, int64(0), 0.0
	for _, g := range r.regions {
		var s WorkersStats
		if control(ctx, http.MethodGet, g.hollowAddr, pathStats, nil, &s) == nil {
			up, running, starts = up+s.Up, running+s.Running, starts+s.Starts
		}
	}
	r.mu.Lock()
	for _, m := range r.meters {
		mb += float64(m.last.rss) / (1 << 20)
	}
	r.mu.Unlock()
	r.say("%4.0f s  %d workers up, %d tasks running, %d started, %.0f MB", since.Seconds(), up, running, starts, mb)
}

// replace has workers stop as often as in life, or more often by the factor.
func (r *run) replace(ctx context.Context) {
	perSecond := r.o.ReplacedPerDay * r.o.ReplacedFaster / (24 * time.Hour).Seconds()
	if perSecond <= 0 {
		return
	}
	for {
		if sleep(ctx, time.Duration(r.rng.ExpFloat64()/perSecond*float64(time.Second))) != nil {
			return
		}
		g := r.regions[r.rng.IntN(len(r.regions))]
		if err := control(ctx, http.MethodPost, g.worldAddr, pathLose, Lose{Count: 1}, nil); err != nil {
			r.env.Log.Warn("no worker was lost", "region", g.spec.Name, "err", err)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-t.C:
		return nil
	}
}
