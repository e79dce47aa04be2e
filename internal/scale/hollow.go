package scale

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"honeylock/internal/standin"
)

// firstNetwork is the second byte of the first region's workers' addresses.
const firstNetwork = 20

// hollow runs a region's workers.
type hollow struct {
	spec   RegionSpec
	depot  *standin.Depot
	group  *standin.WorkerGroup
	world  atomic.Pointer[string]
	urgent *histogram
	other  *histogram

	mu     sync.Mutex
	second int64 // unix time of the second that is being counted
	inIt   int64 // starts in it
	most   int64 // starts in any second since the last reset
}

// ServeHollow runs a region's workers until the context or the parent ends.
func ServeHollow(ctx context.Context, spec RegionSpec, in io.Reader, out io.Writer) error {
	h := &hollow{spec: spec, depot: standin.NewDepot(), urgent: newHistogram(), other: newHistogram()}
	h.depot.Brief = true
	h.depot.Look = h.describe
	h.depot.Factor = func(j *standin.Job, task string) float64 { return factor(spec.Seed, j, task) }
	h.depot.Started = h.started
	h.depot.LimitCPUs = map[string]float64{}
	for _, t := range spec.Teams {
		h.depot.LimitCPUs[t.Name] = t.CPUsMax
	}
	hosts := make([]standin.Host, 0, len(spec.Hosts))
	for _, c := range spec.Hosts {
		hosts = append(hosts, standin.Host{Name: c.Name, Addr: c.Bind})
	}
	var err error
	timing := standin.Timing{Report: spec.Timing.Report, Lease: spec.Timing.Lease}
	if h.group, err = standin.NewWorkerGroup(byte(firstNetwork+spec.Index), timing, h.depot, hosts); err != nil {
		return err
	}
	defer h.group.Close()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathAttach, handle(func(a Attach) (struct{}, error) {
		h.world.Store(&a.World)
		return struct{}{}, nil
	}))
	mux.HandleFunc("POST "+pathBoot, handle(func(m standin.MachineSpec) (Booted, error) {
		addr, err := h.group.Boot(m)
		return Booted{addr}, err
	}))
	mux.HandleFunc("POST "+pathEnd, handle(func(n Named) (struct{}, error) {
		h.group.End(n.Name)
		return struct{}{}, nil
	}))
	mux.HandleFunc("POST "+pathRunning, handle(func(job Named) (Running, error) {
		return Running{h.depot.Running(job.Name)}, nil
	}))
	mux.HandleFunc("GET "+pathStats, func(w http.ResponseWriter, r *http.Request) {
		reset := r.URL.Query().Has("reset")
		handle(func(struct{}) (WorkersStats, error) { return h.stats(reset), nil })(w, r)
	})
	addr, err := serveControl(ctx, mux)
	if err != nil {
		return err
	}
	return announce(ctx, in, out, Ready{Control: addr})
}

// factor is how much longer than the mean a task runs: 0.5 to 1.5, evenly, and the same for
// a task whenever it runs. A task that is taken to have run for a while has left what such
// tasks have left at a moment chosen by chance, so that a run begins in its steady state.
func factor(seed uint64, j *standin.Job, task string) float64 {
	f := fnv.New64a()
	fmt.Fprintf(f, "%d/%s", seed, task)
	const steps = 1 << 20
	u := float64(f.Sum64()%steps) / steps
	switch {
	case !j.Residual:
		return 0.5 + u
	case u < 0.5: // all tasks run for so long: half of what is left lies here
		return u
	}
	return 1.5 - math.Sqrt(2*(1-u))
}

// describe gets a job's description from its user.
func (h *hollow) describe(name string) []byte {
	world := h.world.Load()
	if world == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+*world+pathJob+name, nil)
	if err != nil {
		return nil
	}
	res, err := controlClient.Do(req)
	if err != nil {
		return nil
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK {
		return nil
	}
	return b
}

// started counts a task that has come onto a machine. It is called under the depot's lock.
func (h *hollow) started(j *standin.Job, at time.Time) {
	wait := h.other
	if strings.EqualFold(j.Rank, urgentRank) {
		wait = h.urgent
	}
	if j.AskedMs > 0 && j.Shape == "batch" {
		wait.record(at.Sub(time.UnixMilli(j.AskedMs)))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := at.Unix(); s != h.second {
		h.second, h.inIt = s, 0
	}
	h.inIt++
	h.most = max(h.most, h.inIt)
}

// mostTold is how many broken rules a report names; all are counted.
const mostTold = 20

func (h *hollow) stats(reset bool) WorkersStats {
	m := &h.group.Meter
	broken := h.depot.Broken()
	s := WorkersStats{
		Up: h.group.Size(), Running: h.depot.OnMachines(),
		Starts: m.Starts.Load(), Reports: m.Reports.Load(), Commands: m.Commands.Load(), Redirected: m.Redirected.Load(),
		Unanswered: m.Unanswered.Load(), Dropped: m.Dropped.Load(), Expired: m.Expired.Load(),
		BytesIn: m.BytesIn.Load(), BytesOut: m.BytesOut.Load(),
		UrgentWait: h.urgent.take(reset), OtherWait: h.other.take(reset),
		Broken: broken[:min(len(broken), mostTold)], BrokenCount: len(broken),
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s.PeakStarts = h.most
	if reset {
		h.most = 0
	}
	return s
}
