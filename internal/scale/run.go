package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"time"

	toml "github.com/pelletier/go-toml/v2"
	"github.com/prometheus/procfs"

	"honeylock/internal/config"
	"honeylock/internal/dev"
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
	configs     []string // settings files
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

	restarts sync.WaitGroup // controllers that are to be started again

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
	go r.watch(ctx, cancel)
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
	go r.replace(ctx)
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

func (r *run) say(format string, args ...any) {
	fmt.Fprintf(r.env.Progress, format+"\n", args...)
}

// startRegion starts a region's processes.
func (r *run) startRegion(ctx context.Context, spec RegionSpec) error {
	g := &region{spec: spec}
	r.mu.Lock()
	r.regions = append(r.regions, g)
	r.mu.Unlock()
	for i := range g.spec.Hosts {
		for _, a := range []*string{&g.spec.Hosts[i].Bind, &g.spec.Hosts[i].Peer} {
			var err error
			if *a, err = dev.FreeAddr(); err != nil {
				return err
			}
		}
	}
	var err error
	var ready Ready
	if g.hollow, ready, err = r.startChild(RoleHollow, g, "hollow"); err != nil {
		return err
	}
	g.hollowAddr, g.spec.HollowAddr = ready.Control, ready.Control
	if g.world, ready, err = r.startChild(RoleWorld, g, "world"); err != nil {
		return err
	}
	g.worldAddr = ready.Control
	for i := range g.spec.Hosts {
		path, err := r.configure(g, i, &ready)
		if err != nil {
			return err
		}
		g.configs = append(g.configs, path)
		g.controllers = append(g.controllers, nil)
		if err := r.startController(g, i); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// startChild starts a process of hollow workers or of a region's world.
func (r *run) startChild(role Role, g *region, verb string) (*process, Ready, error) {
	path := filepath.Join(r.dir, g.spec.Name+"-"+verb+".json")
	b, err := json.Marshal(g.spec)
	if err != nil {
		return nil, Ready{}, fmt.Errorf("%s: %w", path, err)
	}
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return nil, Ready{}, fmt.Errorf("%s: %w", path, err)
	}
	p, err := r.start.start(role, g.spec.Index, g.spec.Name+"-"+verb, r.env.Binary, []string{"scale", verb, "--spec", path},
		os.Environ())
	if err != nil {
		return nil, Ready{}, err
	}
	r.keep(p)
	ready, err := p.ready()
	return p, ready, err
}

// configure writes a controller's settings file.
func (r *run) configure(g *region, i int, world *Ready) (string, error) {
	s, o := &g.spec, &r.o
	h := s.Hosts[i]
	p := config.Platform{HostName: h.Name, Zone: h.Zone, Bind: h.Bind, PeerListen: h.Peer}
	for j, other := range s.Hosts {
		if j != i {
			p.Siblings = append(p.Siblings, config.Sibling{HostName: other.Name, Zone: other.Zone, Address: other.Peer})
		}
	}
	p.Services.Cloud, p.Services.State = world.Cloud, world.State[i]
	c := &p.Cluster
	c.Zones, c.SkewMS = s.Zones, 100
	for _, t := range s.Teams {
		c.Teams = append(c.Teams, config.Team{Name: t.Name, CPUs: t.CPUs, CPUsMax: t.CPUsMax})
	}
	c.Workers.ReportS, c.Workers.LeaseS, c.Workers.CancelS = o.Timing.Report.Seconds(), o.Timing.Lease.Seconds(),
		o.Timing.Cancel.Seconds()
	c.State.RPS, c.State.WriteRPS, c.State.ValueKB, c.State.TxnOps = o.Limits.StateRPS, o.Limits.StateWriteRPS,
		o.Limits.StateValueKB, o.Limits.StateTxnOps
	c.Cloud.RPS, c.Cloud.ListLagS = o.Limits.CloudRPS, o.Limits.CloudListLag.Seconds()
	c.Resources.CPU, c.Resources.MemMB, c.Resources.FDLimit = o.ControllerLimit.CPU, o.ControllerLimit.MemMB,
		o.ControllerLimit.FDs
	b, err := toml.Marshal(p)
	if err != nil {
		return "", fmt.Errorf("settings of %s: %w", h.Name, err)
	}
	path := filepath.Join(r.dir, h.Name+".toml")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return "", fmt.Errorf("settings of %s: %w", h.Name, err)
	}
	return path, nil
}

// startController starts a controller as it is deployed, or starts it again.
func (r *run) startController(g *region, i int) error {
	p, err := r.start.start(RoleController, g.spec.Index, g.spec.Hosts[i].Name, r.env.Binary,
		[]string{"serve", "--config", g.configs[i]}, os.Environ())
	if err != nil {
		return err
	}
	go func() { _, _ = io.Copy(io.Discard, p.stdout) }()
	r.mu.Lock()
	g.controllers[i] = p
	if m := r.meters[p.name]; m != nil {
		m.restarted()
	}
	r.mu.Unlock()
	r.keep(p)
	return nil
}

func (r *run) keep(p *process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.meters[p.name] == nil {
		r.meters[p.name] = &meter{}
	}
}

// processes are all that run.
func (r *run) processes() []*process {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*process
	for _, g := range r.regions {
		for _, p := range append([]*process{g.hollow, g.world}, g.controllers...) {
			if p != nil {
				out = append(out, p)
			}
		}
	}
	return out
}

// end ends all processes that were started. The run's context has ended.
func (r *run) end() {
	r.restarts.Wait()
	var all sync.WaitGroup
	for _, p := range r.processes() {
		all.Go(func() {
			if p.role == RoleController {
				p.kill()
			} else {
				p.stop()
			}
		})
	}
	all.Wait()
}

// await waits until a region has a leader and all its controllers are healthy.
func (r *run) await(ctx context.Context, g *region) error {
	end := time.Now().Add(startPatience)
	for time.Now().Before(end) {
		healthy := 0
		for _, h := range g.spec.Hosts {
			if get(ctx, h.Bind, "/healthz") == nil {
				healthy++
			}
		}
		if healthy == len(g.spec.Hosts) && r.leader(ctx, g) >= 0 {
			return nil
		}
		if err := sleep(ctx, 200*time.Millisecond); err != nil {
			return err
		}
	}
	return fmt.Errorf("%s: not all controllers are healthy with a leader after %v", g.spec.Name, startPatience)
}

var probe = &http.Client{Timeout: 2 * time.Second}

// get reads a page of a controller.
func get(ctx context.Context, addr, path string) error {
	_, err := page(ctx, addr, path)
	return err
}

func page(ctx context.Context, addr, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	res, err := probe.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if res.StatusCode/100 != 2 {
		return nil, fmt.Errorf("%s: status %d", path, res.StatusCode)
	}
	return b, nil
}

// metric reads a number from a controller's metrics page; ok is false if it is not there.
func metric(ctx context.Context, addr, name string) (v float64, ok bool) {
	b, err := page(ctx, addr, "/metrics")
	if err != nil {
		return 0, false
	}
	for line := range bytes.Lines(b) {
		if rest, found := bytes.CutPrefix(line, []byte(name+" ")); found {
			v, err := strconv.ParseFloat(string(bytes.TrimSpace(rest)), 64)
			return v, err == nil
		}
	}
	return 0, false
}

// leader is the index of a region's leader, -1 if there is none.
func (r *run) leader(ctx context.Context, g *region) int {
	for i, h := range g.spec.Hosts {
		if v, ok := metric(ctx, h.Bind, "honeylock_leading"); ok && v == 1 {
			return i
		}
	}
	return -1
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
		return fmt.Errorf("the processes take %.0f MB, more than half of this machine's memory (%.0f MB): stopped", total, half)
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
		if n := len(m.samples); n > 0 {
			mb += float64(m.samples[n-1].rss) / (1 << 20)
		}
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
