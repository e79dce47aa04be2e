package standin

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"honeylock/internal/exactjson"
)

// MachineType is an entry of the cloud's catalog.
type MachineType struct {
	Label                       string
	Cpus, Accelerators, MemGb   float64
	LocalGb, PullGbPerS         float64
	Hourly, MarketPrice, ReadyS float64
	Yards                       []string
	MaxPerZone                  int `json:"-"` // how many can be rented in each zone, spot and ordinary ones each
}

// Timing is the report interval and the lease of workers, from the platform's settings.
type Timing struct {
	Report, Lease time.Duration
}

// Host is the name and the address of a controller.
type Host struct{ Name, Addr string }

// Worker is a stand-in for a machine with its worker. Nothing polls: a timer fires at the
// next event of its tasks, and the report loop sleeps until something changes or the next
// report is due. So thousands of workers fit into one process.
type Worker struct {
	Name, Zone  string
	Spot        bool
	machineType MachineType
	timing      Timing
	tasks       *TaskRegistry
	hosts       []Host
	addr        string
	unlisten    func()
	stats       *WorkerStats
	stop        context.CancelFunc
	wake        chan struct{} // holds an element if something may have changed

	mu                sync.Mutex
	dead              bool
	hungUntil         time.Time       // the machine makes no progress until then
	inboundLostUntil  time.Time       // nothing reaches the machine until then; its reports arrive
	outboundLostUntil time.Time       // its reports do not arrive until then; commands reach it
	replayDelays      []time.Duration // each report is sent again after each of these
	session           uint64
	reportSeq         uint64
	token             uint64
	tokenReportedAt   time.Time           // when a higher token last counted as a change
	attempts          map[string]*attempt // by task and number of the attempt
	images            map[string]bool
	imageFetches      map[string]time.Time // when each fetch completes
	hostIndex         int                  // of the controller to which it reports, modulo the number of hosts
	leaseRenewedAt    time.Time            // when the last report that was answered was sent
	reclaimedAt       time.Time            // the cloud reclaims the machine then; zero: not announced
	changed           bool                 // since the last report
	timer             *time.Timer          // fires at the next event of its tasks
}

// newWorker returns a machine that has not started yet.
func newWorker(m MachineSpec, t Timing, tasks *TaskRegistry, hosts []Host, stats *WorkerStats) *Worker {
	return &Worker{
		Name: m.Name, Zone: m.Yard, Spot: m.Spot, machineType: m.Kind, timing: t, tasks: tasks, hosts: hosts,
		hostIndex: m.First, session: 1,
		attempts: map[string]*attempt{}, images: map[string]bool{}, imageFetches: map[string]time.Time{},
		leaseRenewedAt: time.Now(), stats: stats, wake: make(chan struct{}, 1),
	}
}

// StartWorker starts a machine that has its own listener.
func StartWorker(m MachineSpec, t Timing, tasks *TaskRegistry, hosts []Host) (*Worker, error) {
	w := newWorker(m, t, tasks, hosts, &WorkerStats{})
	server, err := startServer(w.handler())
	if err != nil {
		return nil, fmt.Errorf("stand-in worker %s: %w", m.Name, err)
	}
	w.addr, w.unlisten = server.addr, server.close
	w.start()
	return w, nil
}

// handler serves direct requests to the machine.
func (w *Worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", w.handleCommands)
	mux.HandleFunc("GET /inspect", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		writeJSON(rw, http.StatusOK, w.report(time.Now()))
	})
	return mux
}

// start starts the report loop and the timer of the tasks.
func (w *Worker) start() {
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	w.mu.Lock()
	w.timer = time.AfterFunc(w.timing.Lease, w.advance)
	w.mu.Unlock()
	go w.reportLoop(ctx)
}

// Addr returns the address at which the worker accepts commands.
func (w *Worker) Addr() string { return w.addr }

// Kill stops the machine and its tasks for good.
func (w *Worker) Kill() {
	w.stop()
	w.unlisten()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	if !w.dead {
		w.dead = true
		w.killTasks(time.Now())
	}
}

// Hang suspends the machine for some time: it neither reports nor answers, and its tasks make
// no progress.
func (w *Worker) Hang(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hungUntil = time.Now().Add(d)
	w.timer.Reset(0)
}

// LoseInbound makes answers and commands to the machine get lost for some time. Its reports
// still arrive.
func (w *Worker) LoseInbound(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inboundLostUntil = time.Now().Add(d)
}

// LoseOutbound makes reports of the machine get lost for some time. Commands still reach it.
func (w *Worker) LoseOutbound(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outboundLostUntil = time.Now().Add(d)
}

// ReplayReports makes a copy of each report arrive at every controller after each of the
// delays. The answers to copies are ignored.
func (w *Worker) ReplayReports(delays ...time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.replayDelays = delays
}

// receives reports whether answers and commands reach the machine.
func (w *Worker) receives() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().After(w.inboundLostUntil)
}

// AnnounceReclaim notifies the worker that the cloud will reclaim the machine after d.
func (w *Worker) AnnounceReclaim(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reclaimedAt = time.Now().Add(d)
	w.markChanged()
}

// markChanged records that there is something new to report and wakes the report loop.
func (w *Worker) markChanged() {
	w.changed = true
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// advance updates the machine's tasks and sets the timer for their next event.
func (w *Worker) advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return
	}
	now := time.Now()
	if now.Before(w.hungUntil) {
		w.timer.Reset(w.hungUntil.Sub(now))
		return
	}
	w.advanceTasks(now)
	w.resetTimer(now)
}

// minTimerDelay prevents a busy loop while an event is already due.
const minTimerDelay = time.Millisecond

// resetTimer sets the timer for the next event of the machine's tasks.
func (w *Worker) resetTimer(now time.Time) {
	next := w.leaseRenewedAt.Add(w.timing.Lease)
	atMost := func(at time.Time) {
		if at.Before(next) {
			next = at
		}
	}
	for _, end := range w.imageFetches {
		atMost(end)
	}
	for _, a := range w.attempts {
		switch {
		case a.stage == "running" && a.job.Shape != "daemon":
			atMost(a.startedAt.Add(a.remaining))
		case a.stage == "saving":
			atMost(a.saveEndsAt)
		}
	}
	w.timer.Reset(max(minTimerDelay, next.Sub(now)))
}

// handleCommands executes direct commands from a controller. It refuses them if their token
// or session is not current.
func (w *Worker) handleCommands(rw http.ResponseWriter, r *http.Request) {
	var request struct {
		QueenMark, Flight *uint64
		Dances            []command
	}
	if exactjson.Decode(r.Body, &request) != nil || request.QueenMark == nil || request.Flight == nil {
		writeJSON(rw, http.StatusBadRequest, object{})
		return
	}
	if !w.receives() { // the request is lost: its sender gets no answer
		<-r.Context().Done()
		return
	}
	w.waitWhileHung(r.Context())
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if *request.QueenMark < w.token || *request.Flight != w.session || w.dead {
		writeJSON(rw, http.StatusConflict, w.report(now))
		return
	}
	w.stats.Commands.Add(1)
	w.observeToken(now, *request.QueenMark)
	w.execute(now, request.Dances)
	writeJSON(rw, http.StatusOK, w.report(now))
}

// observeToken adopts a higher token. That counts as a change to report at most once per half
// of the lease.
func (w *Worker) observeToken(now time.Time, token uint64) {
	if token <= w.token {
		return
	}
	w.token = token
	if now.Sub(w.tokenReportedAt) >= w.timing.Lease/2 {
		w.tokenReportedAt = now
		w.markChanged()
	}
}

// waitWhileHung blocks while the machine is suspended.
func (w *Worker) waitWhileHung(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		d := time.Until(w.hungUntil)
		w.mu.Unlock()
		if d <= 0 {
			return
		}
		time.Sleep(min(d, 20*time.Millisecond))
	}
}
