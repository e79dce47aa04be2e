package standin

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/segmentio/encoding/json"
)

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
