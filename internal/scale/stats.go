package scale

import (
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles sum up a histogram of durations, in milliseconds.
type Quantiles struct {
	Count                    int64
	P50, P90, P99, P999, Max int64
	Mean                     float64
}

// histogram of durations up to an hour, safe for many goroutines.
type histogram struct {
	mu sync.Mutex
	h  *hdr.Histogram
}

const (
	maxMillis         = int64(time.Hour / time.Millisecond)
	significantDigits = 3
)

func newHistogram() *histogram { return &histogram{h: hdr.New(1, maxMillis, significantDigits)} }

func (h *histogram) record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(min(max(d.Milliseconds(), 0), maxMillis)) // within its range
}

// snapshot sums up, and begins anew if that is wanted.
func (h *histogram) snapshot(reset bool) Quantiles {
	h.mu.Lock()
	defer h.mu.Unlock()
	q := Quantiles{Count: h.h.TotalCount(), P50: h.h.ValueAtQuantile(50), P90: h.h.ValueAtQuantile(90),
		P99: h.h.ValueAtQuantile(99), P999: h.h.ValueAtQuantile(99.9), Max: h.h.Max(), Mean: h.h.Mean()}
	if reset {
		h.h.Reset()
	}
	return q
}

// WorkersStats are what a region's workers counted. Counts are from the beginning on;
// quantiles since they were last reset.
type WorkersStats struct {
	Up, Running                              int
	Starts, Reports, Commands                int64
	Redirected, Unanswered, Dropped, Expired int64
	BytesIn, BytesOut                        int64
	PeakStarts                               int64 // in one second
	UrgentWait, OtherWait                    Quantiles
	Broken                                   []string // a task on two machines, a team over its limit
	BrokenCount                              int
}

// WorldStats are what a region's users, state service and cloud counted.
type WorldStats struct {
	Submitted, Accepted, Refused, Done, Open, Lost int
	Polls, PollsUnanswered                         int64
	Submit, Poll, Finish                           Quantiles
	LongestUnanswered                              float64 // seconds, of any open job
	State                                          []FrontStats
	StateKeys, StateBytes                          int
	StateChanges, StateChangesRefused              int
	CloudCalls, CloudRefused                       int
	Losses                                         []string
	Cancels                                        CancelStats
	LimitChanges                                   LimitChangeStats
}

// FrontStats are one controller's requests to the state service.
type FrontStats struct {
	Host                       string
	Requests, Refused, Watches int
}
