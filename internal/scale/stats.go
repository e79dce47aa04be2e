package scale

import (
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles summarizes a histogram of durations, in milliseconds.
type Quantiles struct {
	Count                    int64
	P50, P90, P99, P999, Max int64
	Mean                     float64
}

// histogram is a histogram of durations of up to an hour, safe for concurrent use.
type histogram struct {
	mu     sync.Mutex
	values *hdr.Histogram
}

// Range and precision of a histogram.
const (
	maxMillis         = int64(time.Hour / time.Millisecond)
	significantDigits = 3
)

func newHistogram() *histogram { return &histogram{values: hdr.New(1, maxMillis, significantDigits)} }

// record adds a duration.
func (h *histogram) record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.values.RecordValue(min(max(d.Milliseconds(), 0), maxMillis)) // can't fail: the value is within the range
}

// snapshot returns the summary. reset clears the histogram afterwards.
func (h *histogram) snapshot(reset bool) Quantiles {
	h.mu.Lock()
	defer h.mu.Unlock()
	quantiles := Quantiles{Count: h.values.TotalCount(), P50: h.values.ValueAtQuantile(50),
		P90: h.values.ValueAtQuantile(90), P99: h.values.ValueAtQuantile(99), P999: h.values.ValueAtQuantile(99.9),
		Max: h.values.Max(), Mean: h.values.Mean()}
	if reset {
		h.values.Reset()
	}
	return quantiles
}

// WorkersStats is what a region's workers counted. Counts are since the start of the process, quantiles and PeakStarts
// since their last reset.
type WorkersStats struct {
	Up, Running                              int
	Starts, Reports, Commands                int64
	Redirected, Unanswered, Dropped, Expired int64
	BytesIn, BytesOut                        int64
	PeakStarts                               int64 // most starts in one second
	UrgentWait, OtherWait                    Quantiles
	Broken                                   []string // violations: a task on two machines, a team over its limit
	BrokenCount                              int
}

// WorldStats is what a region's users, state service and cloud counted.
type WorldStats struct {
	Submitted, Accepted, Refused, Done, Open, Lost int
	Polls, PollsUnanswered                         int64
	Submit, Poll, Finish                           Quantiles
	LongestUnanswered                              float64 // longest time without an answer for an open job, in s
	State                                          []StateRequestStats
	StateKeys, StateBytes                          int
	StateChanges, StateChangesRefused              int
	CloudCalls, CloudRefused                       int
	Losses                                         []string
	Cancels                                        CancelStats
	LimitChanges                                   LimitChangeStats
}

// StateRequestStats counts the requests of one controller to the state service.
type StateRequestStats struct {
	Host                       string
	Requests, Refused, Watches int
}
