package standin

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/segmentio/encoding/json"
)

// Kind is an entry of the cloud's catalog.
type Kind struct {
	Label                       string
	Cpus, Accelerators, MemGb   float64
	LocalGb, PullGbPerS         float64
	Hourly, MarketPrice, ReadyS float64
	Yards                       []string
	Room                        int `json:"-"` // machines of each zone and kind to be had; 0: none
}

// Timing of workers, from the platform's settings.
type Timing struct {
	Report, Lease time.Duration
}

// Host is a controller as workers know it.
type Host struct{ Name, Addr string }

// Worker is a stand-in of one machine with its worker. Nothing of it waits by looking
// again and again: a timer fires at the next event of its tasks, and reporting sleeps
// until there is news, so that thousands fit into one process.
type Worker struct {
	Name, Yard  string
	Spot        bool
	machineType Kind
	timing      Timing
	tasks       *Depot
	hosts       []Host
	addr        string
	unlisten    func()
	stats       *Meter
	stop        context.CancelFunc
	wake        chan struct{} // holds one element while something may have changed

	mu                sync.Mutex
	dead              bool
	hungUntil         time.Time // does not run until then
	inboundLostUntil  time.Time // nothing reaches it until then; what it sends arrives
	outboundLostUntil time.Time // it reaches no controller until then; commands reach it
	replayDelays      []time.Duration
	session           uint64
	reportSeq         uint64
	token             uint64
	tokenReportedAt   time.Time // a higher token last counted as a change
	attempts          map[string]*attempt
	images            map[string]bool
	imageFetches      map[string]time.Time // when they are complete
	hostIndex         int
	leaseRenewedAt    time.Time // when the last answered report was sent
	reclaimedAt       time.Time // the cloud takes the machine then
	changed           bool
	timer             *time.Timer // the next event of its tasks
}

// newWorker returns a machine that is not up yet.
func newWorker(m MachineSpec, t Timing, tasks *Depot, hosts []Host, stats *Meter) *Worker {
	return &Worker{
		Name: m.Name, Yard: m.Yard, Spot: m.Spot, machineType: m.Kind, timing: t, tasks: tasks, hosts: hosts,
		hostIndex: m.First, session: 1,
		attempts: map[string]*attempt{}, images: map[string]bool{}, imageFetches: map[string]time.Time{}, leaseRenewedAt: time.Now(),
		stats: stats, wake: make(chan struct{}, 1),
	}
}

// StartWorker brings a machine up, with a listener of its own.
func StartWorker(m MachineSpec, t Timing, tasks *Depot, hosts []Host) (*Worker, error) {
	w := newWorker(m, t, tasks, hosts, &Meter{})
	server, err := startServer(w.handler())
	if err != nil {
		return nil, fmt.Errorf("stand-in worker %s: %w", m.Name, err)
	}
	w.addr, w.unlisten = server.addr, server.close
	w.start()
	return w, nil
}

// handler serves what reaches the machine directly.
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

// start has the worker report and move its tasks on.
func (w *Worker) start() {
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	w.mu.Lock()
	w.timer = time.AfterFunc(w.timing.Lease, w.advance)
	w.mu.Unlock()
	go w.reportLoop(ctx)
}

// Addr is where the worker takes commands.
func (w *Worker) Addr() string { return w.addr }

// Kill ends the machine with all that is on it.
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

// Hang lets the machine stand still for a while; its tasks make no progress.
func (w *Worker) Hang(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hungUntil = time.Now().Add(d)
	w.timer.Reset(0)
}

// LoseInbound keeps answers and commands from the machine for a while; its reports arrive.
func (w *Worker) LoseInbound(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inboundLostUntil = time.Now().Add(d)
}

// LoseOutbound keeps the machine from reaching any controller for a while; commands reach it.
func (w *Worker) LoseOutbound(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outboundLostUntil = time.Now().Add(d)
}

// ReplayReports has each report come again, at every controller, so much later each time.
// Nobody hears the answers.
func (w *Worker) ReplayReports(delays ...time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.replayDelays = delays
}

// receives tells whether anything reaches the machine.
func (w *Worker) receives() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().After(w.inboundLostUntil)
}

// AnnounceReclaim tells the worker that the cloud takes the machine then.
func (w *Worker) AnnounceReclaim(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reclaimedAt = time.Now().Add(d)
	w.markChanged()
}

// markChanged notes that the next report has something new to say.
func (w *Worker) markChanged() {
	w.changed = true
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// advance moves the machine's tasks on, and sets the timer for what comes next.
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

// minTimerDelay keeps events that are due at once from being looked for without a pause.
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

// handleCommands takes what comes straight from a controller.
func (w *Worker) handleCommands(rw http.ResponseWriter, r *http.Request) {
	var request struct {
		QueenMark, Flight *uint64
		Dances            []command
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.QueenMark == nil || request.Flight == nil {
		writeJSON(rw, http.StatusBadRequest, object{})
		return
	}
	if !w.receives() { // it never came: its sender waits in vain
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

// observeToken takes a token. A higher one counts as a change once per half of the lease.
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

// waitWhileHung waits while the machine hangs.
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
