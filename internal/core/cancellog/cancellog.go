// Package cancellog keeps the leader's view of the open jobs recent while the state service is
// unavailable. After a cancellation has been acknowledged to a user, the leader must not treat the
// job as open. So each controller logs the cancellations that it has acknowledged, and sends the
// log to the leader. With the logs of all controllers the leader knows every cancellation
// acknowledged up to some time, and its view is as recent as the oldest of these logs.
//
// Only acknowledged cancellations matter. A job that is stored as cancelled may continue to run until
// a user is informed.
//
// The types are state machines without input or output; times are those of the monotonic clock.
package cancellog

import (
	"maps"
	"time"

	"honeylock/internal/core/model"
)

const (
	// retention is how long an acknowledgement is kept for later leaders. A leader whose view is
	// older than that must read the state service again.
	retention  = 10 * time.Minute
	maxEntries = 20_000
)

// entry is an acknowledged cancellation.
type entry struct {
	job model.JobID
	at  time.Duration
}

// Log holds the cancellations that one controller has acknowledged to users since it started.
type Log struct {
	completeSince time.Duration // the log is complete from then on
	droppedCount  int           // number of entries removed from the front
	entries       []entry
	acknowledged  map[model.JobID]bool // the jobs in entries
}

// NewLog returns an empty log of a controller that starts now.
func NewLog(now time.Duration) *Log {
	return &Log{completeSince: now, acknowledged: map[model.JobID]bool{}}
}

// Acknowledge records that the cancellation of a job is about to be acknowledged to a user. It removes
// entries that are too old, and the oldest if there are too many.
func (l *Log) Acknowledge(now time.Duration, job model.JobID) {
	if !l.acknowledged[job] {
		l.acknowledged[job] = true
		l.entries = append(l.entries, entry{job, now})
	}
	drop := 0
	for drop < len(l.entries) && (now-l.entries[drop].at > retention || len(l.entries)-drop > maxEntries) {
		l.completeSince = l.entries[drop].at + 1
		delete(l.acknowledged, l.entries[drop].job)
		drop++
	}
	l.entries = l.entries[drop:]
	l.droppedCount += drop
}

// CompleteSince returns the time from which on the log is complete.
func (l *Log) CompleteSince() time.Duration { return l.completeSince }

// EntriesFrom returns the jobs acknowledged from the n-th entry on, and the n for the next call.
func (l *Log) EntriesFrom(n int) (jobs []model.JobID, next int) {
	for _, e := range l.entries[max(0, n-l.droppedCount):] {
		jobs = append(jobs, e.job)
	}
	return jobs, l.droppedCount + len(l.entries)
}

// Coverage is the period for which the leader knows all acknowledgements of one controller.
type Coverage struct {
	Since, Until time.Duration
}

// OpenJobsView is the state of the leader's view of the open jobs: up to what time it includes every
// cancellation that was acknowledged to a user. Before the open jobs are read it is not valid.
type OpenJobsView struct {
	loaded bool
	asOf   time.Duration
	// cancelled are the cancelled jobs reported by controllers, and when each was reported: reads
	// that were sent before may still show the job as open.
	cancelled map[model.JobID]time.Duration
}

// ValidUntil returns until when the leader may act on the view if that may be at most maxAge old. It
// is 0 before the open jobs are read.
func (v *OpenJobsView) ValidUntil(maxAge time.Duration) time.Duration {
	if !v.loaded {
		return 0
	}
	return v.asOf + maxAge
}

// Read records that the open jobs were read by a request sent at askedAt. Every cancellation that was
// acknowledged before is included, because it was stored by then.
func (v *OpenJobsView) Read(askedAt time.Duration) {
	v.loaded, v.asOf = true, max(v.asOf, askedAt)
	maps.DeleteFunc(v.cancelled, func(_ model.JobID, addedAt time.Duration) bool { return addedAt < askedAt })
}

// AddCancelled records that a controller has acknowledged the cancellation of a job. added is false if
// that was known.
func (v *OpenJobsView) AddCancelled(now time.Duration, job model.JobID) (added bool) {
	if v.cancelled == nil {
		v.cancelled = map[model.JobID]time.Duration{}
	}
	_, known := v.cancelled[job]
	if !known {
		v.cancelled[job] = now
	}
	return !known
}

// IsCancelled reports whether a job has been reported as cancelled since the last read was sent.
func (v *OpenJobsView) IsCancelled(job model.JobID) bool {
	_, cancelled := v.cancelled[job]
	return cancelled
}

// ApplyCoverage updates the time of the view from the coverages of all other controllers; the leader's
// own acknowledgements are known up to now. If a coverage begins later than the view there is a gap:
// its controller may have acknowledged other cancellations before, in a previous run. Then the view
// stays as it is.
func (v *OpenJobsView) ApplyCoverage(now time.Duration, coverages []Coverage) {
	if !v.loaded {
		return
	}
	until := now
	for _, coverage := range coverages {
		if coverage.Since > v.asOf {
			return
		}
		until = min(until, coverage.Until)
	}
	v.asOf = max(v.asOf, until)
}
