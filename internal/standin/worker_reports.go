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

	"honeylock/internal/exactjson"
)

// replayReport sends a copy of a report to every controller after each delay, even if the
// machine has stopped by then.
func (w *Worker) replayReport(delays []time.Duration, body []byte) {
	for _, d := range delays {
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

// reportBody is the JSON body of a worker's report.
type reportBody struct {
	Hive, Addr, Breed, Yard string
	SwarmBoxes              bool
	Flight, Buzz, QueenMark uint64
	SmokeS                  *float64
	Cells                   []reportCell
}

// reportCell is one attempt of a task in a report.
type reportCell struct {
	Cell  string
	Brood uint64
	Stage string
	Cause string `json:",omitempty"`
	Saved bool   `json:",omitempty"`
}

// report returns the worker's next report.
func (w *Worker) report(now time.Time) *reportBody {
	w.reportSeq++
	body := &reportBody{
		Hive: w.Name, Addr: w.addr, Breed: w.machineType.Label, Yard: w.Zone, SwarmBoxes: w.Spot,
		Flight: w.session, Buzz: w.reportSeq, QueenMark: w.token, Cells: make([]reportCell, 0, len(w.attempts)),
	}
	for _, a := range w.attempts {
		body.Cells = append(body.Cells, reportCell{
			Cell: a.task, Brood: a.number, Stage: a.stage, Cause: a.cause, Saved: a.saved,
		})
	}
	if !w.reclaimedAt.IsZero() {
		remaining := max(0, w.reclaimedAt.Sub(now).Seconds())
		body.SmokeS = &remaining
	}
	return body
}

// reportLoop sends reports to one controller at a time until the machine stops.
func (w *Worker) reportLoop(ctx context.Context) {
	client := w.stats.newClient(answerTimeout)
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		w.waitWhileHung(ctx)
		sent := time.Now()
		w.mu.Lock()
		w.changed = false
		session := w.session
		body, err := json.Marshal(w.report(sent))
		host := w.hosts[w.hostIndex%len(w.hosts)]
		replayDelays, outboundLost := w.replayDelays, sent.Before(w.outboundLostUntil)
		if outboundLost {
			w.hostIndex++
		}
		w.mu.Unlock()
		if outboundLost { // as if the connection could not be opened
			w.waitForChange(ctx, time.Second)
			continue
		}
		if err != nil {
			return // cannot happen: a report holds only plain values
		}
		w.replayReport(replayDelays, body)
		w.stats.Reports.Add(1)
		pause, sameHost := w.sendReport(ctx, client, host, session, sent, body)
		if !sameHost {
			client.CloseIdleConnections()
		}
		w.waitForChange(ctx, pause)
	}
}

// answerTimeout is how long a worker waits for the answer to a report.
const answerTimeout = 4 * time.Second

// sendReport sends a report and processes its answer. It returns how long to wait before the
// next report and whether that goes to the same controller.
func (w *Worker) sendReport(ctx context.Context, c *http.Client, h Host, session uint64, sent time.Time,
	body []byte) (pause time.Duration, sameHost bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.Addr+"/agent/beat", bytes.NewReader(body))
	if err != nil {
		return time.Second, false
	}
	var reply struct {
		QueenMark uint64
		Dances    []command
		Keeper    string
	}
	status := 0
	if res, err := c.Do(req); err == nil {
		b, _ := io.ReadAll(res.Body)
		res.Body.Close()
		if exactjson.Unmarshal(b, &reply) == nil {
			status = res.StatusCode
		}
	}
	if !w.receives() {
		select { // the answer is lost: wait for the rest of the timeout
		case <-ctx.Done():
		case <-time.After(max(0, answerTimeout-time.Since(sent))):
		}
		status = 0
	}
	w.waitWhileHung(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.dead:
	case status == http.StatusOK:
		if reply.QueenMark >= w.token && session == w.session {
			now := time.Now()
			w.leaseRenewedAt = sent
			w.observeToken(now, reply.QueenMark)
			w.execute(now, reply.Dances)
		} else {
			w.stats.Dropped.Add(1)
		}
		return w.jitter(w.timing.Report), true
	case status == http.StatusMisdirectedRequest && reply.Keeper != "" && reply.Keeper != h.Name:
		if i := slices.IndexFunc(w.hosts, func(o Host) bool { return o.Name == reply.Keeper }); i >= 0 {
			w.hostIndex = i
			w.stats.Redirected.Add(1)
			return 50 * time.Millisecond, false
		}
	}
	w.stats.Unanswered.Add(1)
	w.hostIndex++
	return time.Second, false
}

// jitter returns a random duration between 0.75 and 1.25 times d.
func (w *Worker) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*rand.Float64()))
}

// minReportPause is the minimum wait before a worker reports a change.
const minReportPause = 500 * time.Millisecond

// waitForChange waits for the pause, or until something changes after minReportPause.
func (w *Worker) waitForChange(ctx context.Context, pause time.Duration) {
	end := time.NewTimer(pause)
	defer end.Stop()
	earliest := time.NewTimer(min(pause, minReportPause))
	defer earliest.Stop()
	select {
	case <-ctx.Done():
		return
	case <-earliest.C:
	}
	for !w.hasChanged() {
		select {
		case <-ctx.Done():
			return
		case <-end.C:
			return
		case <-w.wake:
		}
	}
}

// hasChanged reports whether something has changed since the last report.
func (w *Worker) hasChanged() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}
