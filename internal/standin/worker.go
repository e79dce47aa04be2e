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
	Name, Yard string
	Spot       bool
	kind       Kind
	timing     Timing
	depot      *Depot
	hosts      []Host
	addr       string
	unlisten   func()
	meter      *Meter
	stop       context.CancelFunc
	news       chan struct{} // holds one element while something may have changed

	mu        sync.Mutex
	dead      bool
	hung      time.Time // does not run until then
	deaf      time.Time // nothing reaches it until then; what it sends arrives
	mute      time.Time // it reaches no controller until then; commands reach it
	copies    []time.Duration
	session   uint64
	seq       uint64
	token     uint64
	tokenTold time.Time // a higher token last counted as a change
	cells     map[string]*cell
	images    map[string]bool
	fetches   map[string]time.Time // when they are complete
	target    int
	renewed   time.Time // when the last answered report was sent
	notice    time.Time // the cloud takes the machine then
	changed   bool
	timer     *time.Timer // the next event of its tasks
}

// newWorker returns a machine that is not up yet.
func newWorker(m MachineSpec, t Timing, d *Depot, hosts []Host, meter *Meter) *Worker {
	return &Worker{
		Name: m.Name, Yard: m.Yard, Spot: m.Spot, kind: m.Kind, timing: t, depot: d, hosts: hosts,
		target: m.First, session: 1,
		cells: map[string]*cell{}, images: map[string]bool{}, fetches: map[string]time.Time{}, renewed: time.Now(),
		meter: meter, news: make(chan struct{}, 1),
	}
}

// StartWorker brings a machine up, with a listener of its own.
func StartWorker(m MachineSpec, t Timing, d *Depot, hosts []Host) (*Worker, error) {
	w := newWorker(m, t, d, hosts, &Meter{})
	door, err := open(w.handler())
	if err != nil {
		return nil, fmt.Errorf("stand-in worker %s: %w", m.Name, err)
	}
	w.addr, w.unlisten = door.addr, door.close
	w.begin()
	return w, nil
}

// handler serves what reaches the machine directly.
func (w *Worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", w.commands)
	mux.HandleFunc("GET /inspect", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		answer(rw, http.StatusOK, w.report(time.Now()))
	})
	return mux
}

// begin has the worker report and move its tasks on.
func (w *Worker) begin() {
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	w.mu.Lock()
	w.timer = time.AfterFunc(w.timing.Lease, w.advance)
	w.mu.Unlock()
	go w.talk(ctx)
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
		w.forget(time.Now())
	}
}

// Hang lets the machine stand still for a while; its tasks make no progress.
func (w *Worker) Hang(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hung = time.Now().Add(d)
	w.timer.Reset(0)
}

// Deafen keeps answers and commands from the machine for a while; its reports arrive.
func (w *Worker) Deafen(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deaf = time.Now().Add(d)
}

// Mute keeps the machine from reaching any controller for a while; commands reach it.
func (w *Worker) Mute(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mute = time.Now().Add(d)
}

// Copies has each report come again, at every controller, so much later each time.
// Nobody hears the answers.
func (w *Worker) Copies(after ...time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.copies = after
}

// hears tells whether anything reaches the machine.
func (w *Worker) hears() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().After(w.deaf)
}

// Notice tells the worker that the cloud takes the machine then.
func (w *Worker) Notice(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notice = time.Now().Add(d)
	w.change()
}

// change notes that the next report has something new to say.
func (w *Worker) change() {
	w.changed = true
	select {
	case w.news <- struct{}{}:
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
	if now.Before(w.hung) {
		w.timer.Reset(w.hung.Sub(now))
		return
	}
	w.step(now)
	w.schedule(now)
}

// leastStep keeps events that are due at once from being looked for without a pause.
const leastStep = time.Millisecond

// schedule sets the timer for the next event of the machine's tasks.
func (w *Worker) schedule(now time.Time) {
	next := w.renewed.Add(w.timing.Lease)
	sooner := func(at time.Time) {
		if at.Before(next) {
			next = at
		}
	}
	for _, end := range w.fetches {
		sooner(end)
	}
	for _, c := range w.cells {
		switch {
		case c.stage == "running" && c.job.Shape != "daemon":
			sooner(c.began.Add(c.need))
		case c.stage == "saving":
			sooner(c.saveEnd)
		}
	}
	w.timer.Reset(max(leastStep, next.Sub(now)))
}

// commands takes what comes straight from a controller.
func (w *Worker) commands(rw http.ResponseWriter, r *http.Request) {
	var b struct {
		QueenMark, Flight *uint64
		Dances            []command
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil || b.QueenMark == nil || b.Flight == nil {
		answer(rw, http.StatusBadRequest, object{})
		return
	}
	if !w.hears() { // it never came: its sender waits in vain
		<-r.Context().Done()
		return
	}
	w.awake(r.Context())
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if *b.QueenMark < w.token || *b.Flight != w.session || w.dead {
		answer(rw, http.StatusConflict, w.report(now))
		return
	}
	w.meter.Commands.Add(1)
	w.see(now, *b.QueenMark)
	w.execute(now, b.Dances)
	answer(rw, http.StatusOK, w.report(now))
}

// see takes a token. A higher one counts as a change once per half of the lease.
func (w *Worker) see(now time.Time, token uint64) {
	if token <= w.token {
		return
	}
	w.token = token
	if now.Sub(w.tokenTold) >= w.timing.Lease/2 {
		w.tokenTold = now
		w.change()
	}
}

// awake waits while the machine hangs.
func (w *Worker) awake(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		d := time.Until(w.hung)
		w.mu.Unlock()
		if d <= 0 {
			return
		}
		time.Sleep(min(d, 20*time.Millisecond))
	}
}
