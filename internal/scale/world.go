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

// world is the world process of a region: it simulates the users, the state service and the cloud.
type world struct {
	spec           RegionSpec
	store          *standin.Store
	storeEndpoints []*standin.StoreEndpoint
	cloud          *standin.Cloud
	users          *users
	limitChanger   *limitChanger
	machineType    standin.MachineType

	mu     sync.Mutex
	random *rand.Rand
}

// remoteMachines starts and stops the cloud's machines in the region's hollow process.
type remoteMachines struct {
	ctx  context.Context
	addr string
}

// Boot starts a machine and returns the address of its worker.
func (r remoteMachines) Boot(m standin.MachineSpec) (string, error) {
	var reply BootReply
	err := callControl(r.ctx, http.MethodPost, r.addr, pathBoot, m, &reply)
	return reply.Addr, err
}

// End stops a machine.
func (r remoteMachines) End(name string) {
	// The error is ignored: a hollow process that does not answer has exited, and its machines with it.
	_ = callControl(r.ctx, http.MethodPost, r.addr, pathEnd, NameRequest{name}, nil)
}

// spareMachines returns the number of machines that the cloud can add in a zone with the given number of machines:
// 5 %, plus 4 for small zones.
func spareMachines(machines int) int { return machines/20 + 4 }

// ServeWorld simulates the users, state service and cloud of a region until the context ends or the parent process
// exits.
func ServeWorld(ctx context.Context, spec RegionSpec, in io.Reader, out io.Writer) error {
	w := &world{spec: spec, users: newUsers(spec), random: rand.New(rand.NewPCG(spec.Seed, 12))}
	w.users.canceller.runningTasks = func(ctx context.Context, job string) (int, error) {
		var reply RunningReply
		err := callControl(ctx, http.MethodPost, spec.HollowAddr, pathRunning, NameRequest{job}, &reply)
		return reply.Tasks, err
	}
	var err error
	if w.limitChanger, err = newLimitChanger(spec); err != nil {
		return err
	}
	limits := spec.Limits
	w.store = standin.NewStore(standin.StoreLimits{RPS: limits.StateRPS, WriteRPS: limits.StateWriteRPS,
		ValueKB: limits.StateValueKB, TxnOps: limits.StateTxnOps})
	defer w.store.Close()
	ready := ReadyMessage{}
	for range spec.Hosts {
		endpoint, err := w.store.NewEndpoint()
		if err != nil {
			return err
		}
		endpoint.SetDelay(limits.StateLatency)
		w.storeEndpoints = append(w.storeEndpoints, endpoint)
		ready.State = append(ready.State, endpoint.Addr)
	}
	perZone := (spec.Workers + len(spec.Zones) - 1) / len(spec.Zones)
	w.machineType = standin.MachineType{Label: "hollow", Cpus: spec.workerCPUs(),
		MemGb:   spec.workerCPUs() * taskMemGB / taskCPUs,
		LocalGb: 50, PullGbPerS: 1, Hourly: 1, MarketPrice: 0.5, ReadyS: 10, Yards: spec.Zones,
		MaxPerZone: perZone + spareMachines(perZone)}
	hosts := make([]standin.Host, 0, len(spec.Hosts))
	for _, host := range spec.Hosts {
		hosts = append(hosts, standin.Host{Name: host.Name, Addr: host.Bind})
	}
	w.cloud, err = standin.NewCloud(standin.CloudParams{Types: []standin.MachineType{w.machineType},
		ListLag:         limits.CloudListLag,
		ListedAfterLoss: limits.CloudListLag, RPS: limits.CloudRPS,
		Timing: standin.Timing{Report: spec.Timing.Report, Lease: spec.Timing.Lease},
		Runner: remoteMachines{ctx, spec.HollowAddr}}, nil, hosts, rand.New(rand.NewPCG(spec.Seed, 13)))
	if err != nil {
		return err
	}
	defer w.cloud.Close()
	ready.Cloud = w.cloud.Addr()
	if ready.Control, err = serveControl(ctx, w.handler(ctx)); err != nil {
		return err
	}
	if err := callControl(ctx, http.MethodPost, spec.HollowAddr, pathAttach,
		AttachRequest{ready.Control}, nil); err != nil {
		return err
	}
	return announceReady(ctx, in, out, ready)
}

// handler serves the control requests of the world process.
func (w *world) handler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathJob+"{name}", func(rw http.ResponseWriter, r *http.Request) {
		description := w.users.description(r.PathValue("name"))
		if description == nil {
			http.NotFound(rw, r)
			return
		}
		_, _ = rw.Write(description) // the error is ignored: a caller that has disconnected needs no answer
	})
	mux.HandleFunc("POST "+pathSeed,
		controlHandler(func(struct{}) (struct{}, error) { return struct{}{}, w.seedMachines() }))
	var once sync.Once
	mux.HandleFunc("POST "+pathLoad, controlHandler(func(struct{}) (struct{}, error) {
		once.Do(func() {
			go w.users.run(ctx)
			go w.limitChanger.run(ctx)
		})
		return struct{}{}, nil
	}))
	mux.HandleFunc("POST "+pathLose, controlHandler(w.loseMachines))
	mux.HandleFunc("GET "+pathStats, func(rw http.ResponseWriter, r *http.Request) {
		reset := r.URL.Query().Has("reset")
		controlHandler(func(struct{}) (WorldStats, error) { return w.stats(reset), nil })(rw, r)
	})
	return mux
}

// seedMachines starts the initial machines, distributed evenly over the zones.
func (w *world) seedMachines() error {
	for i, zone := range w.spec.Zones {
		if err := w.cloud.AddMachines(0, zone, false, evenShare(w.spec.Workers, len(w.spec.Zones), i)); err != nil {
			return fmt.Errorf("start the machines of %s: %w", zone, err)
		}
	}
	return nil
}

// loseMachines stops random machines abruptly, with their tasks, and returns their names.
func (w *world) loseMachines(request LoseRequest) (names []string, err error) {
	machines := w.cloud.RunningInZone(request.Zone)
	w.mu.Lock()
	w.random.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	w.mu.Unlock()
	names = machines[:min(request.Count, len(machines))]
	if request.ForGood {
		w.cloud.ExhaustZone(request.Zone)
	}
	for _, n := range names {
		w.cloud.FailMachine(n)
	}
	return names, nil
}

// stats returns the counts since the start of the process. reset restarts the quantiles.
func (w *world) stats(reset bool) WorldStats {
	stats := w.users.stats(reset)
	stats.LimitChanges = w.limitChanger.stats(reset)
	for i, endpoint := range w.storeEndpoints {
		counts := endpoint.Counts()
		stats.State = append(stats.State, StateRequestStats{Host: w.spec.Hosts[i].Name, Requests: counts.Requests,
			Refused: counts.Refused, Watches: counts.Watches})
	}
	counts := w.store.Counts()
	stats.StateKeys, stats.StateBytes, stats.StateChanges, stats.StateChangesRefused = counts.Keys, counts.Bytes,
		counts.Changes, counts.RefusedChanges
	stats.CloudCalls, stats.CloudRefused = w.cloud.Calls()
	stats.Losses = stats.Losses[:min(len(stats.Losses), maxListed)]
	return stats
}
