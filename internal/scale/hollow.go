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

// firstNetworkOctet is the second octet of the loopback addresses (127.x.0.0/16) of the first region's workers; the
// octet grows by one for each further region.
const firstNetworkOctet = 20

// hollowWorkers is the hollow process of a region: workers that speak the worker protocol but run no tasks.
type hollowWorkers struct {
	spec       RegionSpec
	registry   *standin.TaskRegistry
	group      *standin.WorkerGroup
	worldAddr  atomic.Pointer[string]
	urgentWait *histogram
	otherWait  *histogram

	mu            sync.Mutex
	currentSecond int64 // Unix time of the second that currentStarts counts
	currentStarts int64 // task starts in currentSecond
	peakStarts    int64 // most task starts in one second since the last reset
}

// ServeHollow runs the workers of a region until the context ends or the parent process exits.
func ServeHollow(ctx context.Context, spec RegionSpec, in io.Reader, out io.Writer) error {
	h := &hollowWorkers{spec: spec, registry: standin.NewTaskRegistry(), urgentWait: newHistogram(),
		otherWait: newHistogram()}
	h.registry.DiscardEnded = true
	h.registry.FindJob = h.fetchDescription
	h.registry.RunTimeFactor = func(job *standin.Job, task string) float64 { return runTimeFactor(spec.Seed, job, task) }
	h.registry.OnStart = h.recordStart
	h.registry.LimitCPUs = map[string]float64{}
	for _, team := range spec.Teams {
		h.registry.LimitCPUs[team.Name] = team.CPUsMax
	}
	hosts := make([]standin.Host, 0, len(spec.Hosts))
	for _, host := range spec.Hosts {
		hosts = append(hosts, standin.Host{Name: host.Name, Addr: host.Bind})
	}
	var err error
	timing := standin.Timing{Report: spec.Timing.Report, Lease: spec.Timing.Lease}
	if h.group, err = standin.NewWorkerGroup(byte(firstNetworkOctet+spec.Index), timing, h.registry, hosts); err != nil {
		return err
	}
	defer h.group.Close()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathAttach, controlHandler(func(request AttachRequest) (struct{}, error) {
		h.worldAddr.Store(&request.World)
		return struct{}{}, nil
	}))
	mux.HandleFunc("POST "+pathBoot, controlHandler(func(machine standin.MachineSpec) (BootReply, error) {
		addr, err := h.group.Boot(machine)
		return BootReply{addr}, err
	}))
	mux.HandleFunc("POST "+pathEnd, controlHandler(func(machine NameRequest) (struct{}, error) {
		h.group.End(machine.Name)
		return struct{}{}, nil
	}))
	mux.HandleFunc("POST "+pathRunning, controlHandler(func(job NameRequest) (RunningReply, error) {
		return RunningReply{h.registry.RunningTasks(job.Name)}, nil
	}))
	mux.HandleFunc("GET "+pathStats, func(w http.ResponseWriter, r *http.Request) {
		reset := r.URL.Query().Has("reset")
		controlHandler(func(struct{}) (WorkersStats, error) { return h.stats(reset), nil })(w, r)
	})
	addr, err := serveControl(ctx, mux)
	if err != nil {
		return err
	}
	return announceReady(ctx, in, out, ReadyMessage{Control: addr})
}

// runTimeFactor returns the ratio of a task's run time to the mean. It is uniform between 0.5 and 1.5 and depends
// only on the seed and the task, so it is the same for every attempt. The tasks of a residual job count as already
// running: their factor has the distribution of the remaining run time at a random moment, so the run starts in its
// steady state.
func runTimeFactor(seed uint64, job *standin.Job, task string) float64 {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%d/%s", seed, task)
	const steps = 1 << 20
	uniform := float64(hash.Sum64()%steps) / steps
	switch {
	case !job.Residual:
		return 0.5 + uniform
	case uniform < 0.5: // every task runs for at least 0.5, so the remaining time is uniform up to there
		return uniform
	}
	return 1.5 - math.Sqrt(2*(1-uniform))
}

// fetchDescription gets a job's description from the region's world process. It returns nil if that fails.
func (h *hollowWorkers) fetchDescription(name string) []byte {
	world := h.worldAddr.Load()
	if world == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+*world+pathJob+name, nil)
	if err != nil {
		return nil
	}
	response, err := controlClient.Do(request)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	description, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return nil
	}
	return description
}

// recordStart counts a task start on a machine. The registry calls it with its lock held.
func (h *hollowWorkers) recordStart(job *standin.Job, at time.Time) {
	waits := h.otherWait
	if strings.EqualFold(job.Rank, urgentRank) {
		waits = h.urgentWait
	}
	if job.AskedMs > 0 && job.Shape == "batch" {
		waits.record(at.Sub(time.UnixMilli(job.AskedMs)))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if second := at.Unix(); second != h.currentSecond {
		h.currentSecond, h.currentStarts = second, 0
	}
	h.currentStarts++
	h.peakStarts = max(h.peakStarts, h.currentStarts)
}

// maxListed is the maximum number of violations and of lost jobs that a report lists; all are counted.
const maxListed = 20

// stats returns the counts since the start of the process. reset restarts the quantiles and the peak.
func (h *hollowWorkers) stats(reset bool) WorkersStats {
	meter := &h.group.Stats
	broken := h.registry.Violations()
	stats := WorkersStats{
		Up: h.group.Size(), Running: h.registry.TotalRunning(),
		Starts: meter.Starts.Load(), Reports: meter.Reports.Load(), Commands: meter.Commands.Load(),
		Redirected: meter.Redirected.Load(), Unanswered: meter.Unanswered.Load(), Dropped: meter.Dropped.Load(),
		Expired: meter.Expired.Load(),
		BytesIn: meter.BytesIn.Load(), BytesOut: meter.BytesOut.Load(),
		UrgentWait: h.urgentWait.snapshot(reset), OtherWait: h.otherWait.snapshot(reset),
		Broken: broken[:min(len(broken), maxListed)], BrokenCount: len(broken),
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	stats.PeakStarts = h.peakStarts
	if reset {
		h.peakStarts = 0
	}
	return stats
}
