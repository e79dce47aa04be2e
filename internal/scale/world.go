package scale

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"

	"honeylock/internal/standin"
)

// world plays a region's users, state service and cloud.
type world struct {
	spec   RegionSpec
	store  *standin.Store
	fronts []*standin.Front
	cloud  *standin.Cloud
	users  *users
	limits *limitChanges
	kind   standin.Kind

	mu  sync.Mutex
	rng *rand.Rand
}

// remoteMachines brings machines up in the region's hollow process.
type remoteMachines struct {
	ctx  context.Context
	addr string
}

// Boot brings a machine up and returns its worker's address.
func (r remoteMachines) Boot(m standin.MachineSpec) (string, error) {
	var b Booted
	err := control(r.ctx, http.MethodPost, r.addr, pathBoot, m, &b)
	return b.Addr, err
}

// End ends a machine.
func (r remoteMachines) End(name string) {
	// A hollow process that does not answer has ended, and its machines with it.
	_ = control(r.ctx, http.MethodPost, r.addr, pathEnd, Named{name}, nil)
}

// spareMachines is how many more machines of each zone can be had than are up at the start:
// a twentieth, and a few.
func spareMachines(up int) int { return up/20 + 4 }

// ServeWorld plays a region's users, state service and cloud until the context or the
// parent ends.
func ServeWorld(ctx context.Context, spec RegionSpec, in io.Reader, out io.Writer) error {
	w := &world{spec: spec, users: newUsers(spec), rng: rand.New(rand.NewPCG(spec.Seed, 12))}
	w.users.cancels.running = func(ctx context.Context, job string) (int, error) {
		var r Running
		err := control(ctx, http.MethodPost, spec.HollowAddr, pathRunning, Named{job}, &r)
		return r.Tasks, err
	}
	var err error
	if w.limits, err = newLimitChanges(spec); err != nil {
		return err
	}
	l := spec.Limits
	w.store = standin.NewStore(standin.StoreLimits{RPS: l.StateRPS, WriteRPS: l.StateWriteRPS, ValueKB: l.StateValueKB,
		TxnOps: l.StateTxnOps})
	defer w.store.Close()
	ready := Ready{}
	for range spec.Hosts {
		f, err := w.store.Front()
		if err != nil {
			return err
		}
		f.Slow(l.StateLatency)
		w.fronts = append(w.fronts, f)
		ready.State = append(ready.State, f.Addr)
	}
	perZone := (spec.Workers + len(spec.Zones) - 1) / len(spec.Zones)
	w.kind = standin.Kind{Label: "hollow", Cpus: spec.workerCPUs(), MemGb: spec.workerCPUs() * taskMemGB / taskCPUs,
		LocalGb: 50, PullGbPerS: 1, Hourly: 1, MarketPrice: 0.5, ReadyS: 10, Yards: spec.Zones,
		Room: perZone + spareMachines(perZone)}
	hosts := make([]standin.Host, 0, len(spec.Hosts))
	for _, h := range spec.Hosts {
		hosts = append(hosts, standin.Host{Name: h.Name, Addr: h.Bind})
	}
	w.cloud, err = standin.NewCloud(standin.CloudParams{Kinds: []standin.Kind{w.kind}, ListLag: l.CloudListLag,
		Dying: l.CloudListLag, RPS: l.CloudRPS,
		Timing: standin.Timing{Report: spec.Timing.Report, Lease: spec.Timing.Lease},
		Runs:   remoteMachines{ctx, spec.HollowAddr}}, nil, hosts, rand.New(rand.NewPCG(spec.Seed, 13)))
	if err != nil {
		return err
	}
	defer w.cloud.Close()
	ready.Cloud = w.cloud.Addr()
	if ready.Control, err = serveControl(ctx, w.handler(ctx)); err != nil {
		return err
	}
	if err := control(ctx, http.MethodPost, spec.HollowAddr, pathAttach, Attach{ready.Control}, nil); err != nil {
		return err
	}
	return announce(ctx, in, out, ready)
}

func (w *world) handler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathJob+"{name}", func(rw http.ResponseWriter, r *http.Request) {
		b := w.users.described(r.PathValue("name"))
		if b == nil {
			http.NotFound(rw, r)
			return
		}
		_, _ = rw.Write(b) // a worker that is gone needs none
	})
	mux.HandleFunc("POST "+pathSeed, handle(func(struct{}) (struct{}, error) { return struct{}{}, w.seed() }))
	var once sync.Once
	mux.HandleFunc("POST "+pathLoad, handle(func(struct{}) (struct{}, error) {
		once.Do(func() {
			go w.users.run(ctx)
			go w.limits.run(ctx)
		})
		return struct{}{}, nil
	}))
	mux.HandleFunc("POST "+pathLose, handle(w.lose))
	mux.HandleFunc("GET "+pathStats, func(rw http.ResponseWriter, r *http.Request) {
		reset := r.URL.Query().Has("reset")
		handle(func(struct{}) (WorldStats, error) { return w.stats(reset), nil })(rw, r)
	})
	return mux
}

// seed brings up the machines that are there from the beginning.
func (w *world) seed() error {
	for i, zone := range w.spec.Zones {
		if err := w.cloud.Seed(0, zone, false, part(w.spec.Workers, len(w.spec.Zones), i)); err != nil {
			return fmt.Errorf("machines of %s: %w", zone, err)
		}
	}
	return nil
}

// lose has machines stop with all that is on them.
func (w *world) lose(l Lose) (names []string, err error) {
	up := w.cloud.InZone(l.Zone)
	w.mu.Lock()
	w.rng.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	w.mu.Unlock()
	names = up[:min(l.Count, len(up))]
	if l.ForGood {
		w.cloud.Shut(l.Zone)
	}
	for _, n := range names {
		w.cloud.Lose(n)
	}
	return names, nil
}

func (w *world) stats(reset bool) WorldStats {
	s := w.users.stats(reset)
	s.LimitChanges = w.limits.stats(reset)
	for i, f := range w.fronts {
		c := f.Counts()
		s.State = append(s.State, FrontStats{Host: w.spec.Hosts[i].Name, Requests: c.Requests, Refused: c.Refused,
			Watches: c.Watches})
	}
	c := w.store.Counts()
	s.StateKeys, s.StateBytes, s.StateChanges, s.StateChangesRefused = c.Keys, c.Bytes, c.Changes, c.RefusedChanges
	s.CloudCalls, s.CloudRefused = w.cloud.Calls()
	s.Losses = s.Losses[:min(len(s.Losses), mostTold)]
	return s
}
