package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/segmentio/encoding/json"

	"honeylock/internal/config"
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

type cell struct {
	task         string
	attempt      uint64
	job          *Job
	stage, cause string
	saved        bool
	run          *Run
	base         time.Duration // progress at its beginning
	began        time.Time     // running since
	need         time.Duration // run time still needed then
	saveEnd      time.Time
	fails        bool
}

// progress is the work done so far, in the world's own time.
func (c *cell) progress(now time.Time) time.Duration {
	if c.began.IsZero() {
		return c.base
	}
	return c.base + min(now.Sub(c.began), c.need)
}

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
		Name: m.Name, Yard: m.Yard, Spot: m.Spot, kind: m.Kind, timing: t, depot: d, hosts: hosts, target: m.First, session: 1,
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

// again sends the copies of a report, as long as the rig lasts; the machine may have died
// meanwhile.
func (w *Worker) again(after []time.Duration, body []byte) {
	for _, d := range after {
		time.AfterFunc(d, func() {
			for _, h := range w.hosts {
				c := http.Client{Timeout: 4 * time.Second}
				if res, err := c.Post("http://"+h.Addr+"/agent/beat", "application/json", bytes.NewReader(body)); err == nil {
					res.Body.Close()
				}
				c.CloseIdleConnections()
			}
		})
	}
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

// forget kills all tasks.
func (w *Worker) forget(now time.Time) {
	for k, c := range w.cells {
		w.leave(c, now, "killed")
		delete(w.cells, k)
	}
}

// leave ends a task's stay; what it last saved by itself is kept.
func (w *Worker) leave(c *cell, now time.Time, cause string) {
	if c.run == nil || !c.run.Ended.IsZero() {
		return
	}
	kept := c.base
	if every := config.Seconds(c.job.CapIntervalS); every > 0 {
		p := c.progress(now)
		kept = max(kept, p-p%every)
		if c.saved {
			kept = p
		}
	}
	w.depot.end(c.run, cause, kept)
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

func (w *Worker) step(now time.Time) {
	if now.Sub(w.renewed) > w.timing.Lease {
		w.forget(now)
		w.session++
		w.renewed = now
		w.meter.Expired.Add(1)
		w.change()
	}
	for img, end := range w.fetches {
		if !now.Before(end) {
			w.images[img] = true
			delete(w.fetches, img)
		}
	}
	for _, c := range w.cells {
		switch c.stage {
		case "fetching":
			w.fetch(now, c)
		case "running":
			if c.job.Shape != "daemon" && now.Sub(c.began) >= c.need {
				cause := "done"
				if c.fails {
					cause = "error"
				}
				w.exit(now, c, cause)
			}
		case "saving":
			if !now.Before(c.saveEnd) {
				c.saved = true
				w.exit(now, c, "stopped")
			}
		}
	}
}

func (w *Worker) fetch(now time.Time, c *cell) {
	if !w.images[c.job.Wax] {
		if _, ok := w.fetches[c.job.Wax]; !ok {
			w.fetches[c.job.Wax] = now.Add(config.Seconds(c.job.ImageGb / w.kind.PullGbPerS))
		}
		return
	}
	r, base, done := w.depot.begin(c.job, c.task, w.Name, c.attempt)
	w.meter.Starts.Add(1)
	c.run, c.base, c.began, c.stage = r, base, now, "running"
	c.need = config.Seconds(c.job.ForageS*w.depot.factor(c.job, c.task)) - base
	if c.fails = w.depot.fails(c.task, w.Name); c.fails {
		c.need /= 4
	}
	w.change()
	if done {
		w.exit(now, c, "done")
	}
}

func (w *Worker) exit(now time.Time, c *cell, cause string) {
	w.leave(c, now, cause)
	c.stage, c.cause = "exited", cause
	w.change()
}

type command struct {
	Dance, Cell string
	Brood       uint64
	SettleS     float64
}

func (w *Worker) execute(now time.Time, cmds []command) {
	for _, d := range cmds {
		key := fmt.Sprintf("%s#%d", d.Cell, d.Brood)
		c := w.cells[key]
		switch {
		case d.Dance == "launch" && c == nil:
			w.cells[key] = w.launch(d)
			w.change()
		case d.Dance == "kill" && c != nil && c.stage != "exited":
			w.kill(now, c, d.SettleS)
		case d.Dance == "clear" && c != nil && c.stage == "exited":
			delete(w.cells, key)
			w.change()
		}
	}
	w.step(now)
	w.schedule(now)
}

func (w *Worker) launch(d command) *cell {
	name, _, _ := strings.Cut(d.Cell, "/")
	c := &cell{task: d.Cell, attempt: d.Brood, stage: "exited"}
	c.job = w.depot.job(name)
	if c.job == nil {
		c.cause = "unknown"
		return c
	}
	cpus, gpus, mem := c.job.Cpus, c.job.Accelerators, c.job.MemGb
	for _, o := range w.cells {
		if o.stage == "exited" {
			continue
		}
		if o.task == c.task {
			c.cause = "busy"
			return c
		}
		cpus, gpus, mem = cpus+o.job.Cpus, gpus+o.job.Accelerators, mem+o.job.MemGb
	}
	const slack = 1e-6
	if cpus > w.kind.Cpus+slack || gpus > w.kind.Accelerators+slack || mem > w.kind.MemGb+slack {
		c.cause = "no_room"
		return c
	}
	c.stage = "fetching"
	return c
}

func (w *Worker) kill(now time.Time, c *cell, settle float64) {
	saves := c.job.CapIntervalS > 0 && c.stage == "running" && settle >= c.job.CapS
	if !saves {
		if c.stage == "saving" && settle > 0 {
			return
		}
		w.exit(now, c, "stopped")
		return
	}
	c.stage, c.saveEnd = "saving", now.Add(config.Seconds(c.job.CapS))
	w.change()
}

// reportBody is a worker's report.
type reportBody struct {
	Hive, Addr, Breed, Yard string
	SwarmBoxes              bool
	Flight, Buzz, QueenMark uint64
	SmokeS                  *float64
	Cells                   []reportCell
}

// reportCell is a task in a report.
type reportCell struct {
	Cell  string
	Brood uint64
	Stage string
	Cause string `json:",omitempty"`
	Saved bool   `json:",omitempty"`
}

func (w *Worker) report(now time.Time) *reportBody {
	w.seq++
	r := &reportBody{
		Hive: w.Name, Addr: w.addr, Breed: w.kind.Label, Yard: w.Yard, SwarmBoxes: w.Spot,
		Flight: w.session, Buzz: w.seq, QueenMark: w.token, Cells: make([]reportCell, 0, len(w.cells)),
	}
	for _, c := range w.cells {
		r.Cells = append(r.Cells, reportCell{Cell: c.task, Brood: c.attempt, Stage: c.stage, Cause: c.cause, Saved: c.saved})
	}
	if !w.notice.IsZero() {
		left := max(0, w.notice.Sub(now).Seconds())
		r.SmokeS = &left
	}
	return r
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

// talk reports to one controller at a time.
func (w *Worker) talk(ctx context.Context) {
	client := w.meter.client(answerPatience)
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		w.awake(ctx)
		sent := time.Now()
		w.mu.Lock()
		w.changed = false
		session := w.session
		body, err := json.Marshal(w.report(sent))
		host := w.hosts[w.target%len(w.hosts)]
		copies, mute := w.copies, sent.Before(w.mute)
		if mute {
			w.target++
		}
		w.mu.Unlock()
		if mute { // a connection that can't be opened
			w.wait(ctx, time.Second)
			continue
		}
		if err != nil {
			return // a report of plain values always encodes
		}
		w.again(copies, body)
		w.meter.Reports.Add(1)
		pause, stays := w.exchange(ctx, client, host, session, sent, body)
		if !stays {
			client.CloseIdleConnections()
		}
		w.wait(ctx, pause)
	}
}

// answerPatience is how long a worker waits for the answer to a report.
const answerPatience = 4 * time.Second

// exchange sends a report and takes its answer; it returns when to report next, and
// whether to the same controller.
func (w *Worker) exchange(ctx context.Context, c *http.Client, h Host, session uint64, sent time.Time,
	body []byte) (pause time.Duration, stays bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.Addr+"/agent/beat", bytes.NewReader(body))
	if err != nil {
		return time.Second, false
	}
	var ans struct {
		QueenMark uint64
		Dances    []command
		Keeper    string
	}
	status := 0
	if res, err := c.Do(req); err == nil {
		b, _ := io.ReadAll(res.Body)
		res.Body.Close()
		if json.Unmarshal(b, &ans) == nil {
			status = res.StatusCode
		}
	}
	if !w.hears() {
		select { // its patience for an answer
		case <-ctx.Done():
		case <-time.After(max(0, answerPatience-time.Since(sent))):
		}
		status = 0
	}
	w.awake(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.dead:
	case status == http.StatusOK:
		if ans.QueenMark >= w.token && session == w.session {
			now := time.Now()
			w.renewed = sent
			w.see(now, ans.QueenMark)
			w.execute(now, ans.Dances)
		} else {
			w.meter.Dropped.Add(1)
		}
		return w.spread(w.timing.Report), true
	case status == http.StatusMisdirectedRequest && ans.Keeper != "" && ans.Keeper != h.Name:
		if i := slices.IndexFunc(w.hosts, func(o Host) bool { return o.Name == ans.Keeper }); i >= 0 {
			w.target = i
			w.meter.Redirected.Add(1)
			return 50 * time.Millisecond, false
		}
	}
	w.meter.Unanswered.Add(1)
	w.target++
	return time.Second, false
}

// spread is a duration plus or minus a quarter.
func (w *Worker) spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*rand.Float64()))
}

// leastPause is how long a worker waits at least before it reports a change.
const leastPause = 500 * time.Millisecond

// wait lets a pause go by, or less if something changes meanwhile.
func (w *Worker) wait(ctx context.Context, pause time.Duration) {
	end := time.NewTimer(pause)
	defer end.Stop()
	soonest := time.NewTimer(min(pause, leastPause))
	defer soonest.Stop()
	select {
	case <-ctx.Done():
		return
	case <-soonest.C:
	}
	for !w.hasChanged() {
		select {
		case <-ctx.Done():
			return
		case <-end.C:
			return
		case <-w.news:
		}
	}
}

func (w *Worker) hasChanged() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}
