// Package cancellog keeps a leader's picture of the open jobs young while the state service
// answers nobody: controllers tell the leader of which jobs they told users that they are
// cancelled. Once all have, whatever users were told before that is known, so the picture is
// as young as the oldest of their acknowledgements. It is a state machine without input or output;
// times are the steady clock's.
//
// Only what users were told counts for the rule. A job that is stored as cancelled, and of
// which nobody was told, may run on until somebody is.
package cancellog

import (
	"maps"
	"time"

	"honeylock/internal/core/model"
)

const (
	// retention is how long an acknowledgement is kept for a leader to come: one who lived through a
	// longer outage than that goes by the state service again.
	retention  = 10 * time.Minute
	maxEntries = 20_000
)

type entry struct {
	job model.JobID
	at  time.Duration
}

// Log is what one controller has told users in this life.
type Log struct {
	completeSince time.Duration // it is complete from then on
	droppedCount  int           // entries that are kept no longer
	entries       []entry
	acknowledged  map[model.JobID]bool // of kept
}

// NewLog begins with the controller's life.
func NewLog(now time.Duration) *Log {
	return &Log{completeSince: now, acknowledged: map[model.JobID]bool{}}
}

// Acknowledge notes that a user is about to be told that a job is cancelled.
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

// CompleteSince is the moment from which on nothing is missing.
func (l *Log) CompleteSince() time.Duration { return l.completeSince }

// EntriesFrom returns the jobs told from the n-th entry on, and what to ask from next time.
func (l *Log) EntriesFrom(n int) (jobs []model.JobID, next int) {
	for _, e := range l.entries[max(0, n-l.droppedCount):] {
		jobs = append(jobs, e.job)
	}
	return jobs, l.droppedCount + len(l.entries)
}

// Coverage is how far one controller's acknowledgements are known: all that it told users in between.
type Coverage struct {
	Since, Until time.Duration
}

// OpenJobsView is a leader's of the open jobs. It knows of every cancellation that a user was told
// of up to some moment; before the open jobs were read, of none.
type OpenJobsView struct {
	loaded bool
	asOf   time.Duration
	// cancelled are the cancelled jobs that a controller told of, and when the leader heard it:
	// what was asked for before may still show them as open.
	cancelled map[model.JobID]time.Duration
}

// ValidUntil is until when a leader may act on the picture, where it may be so old at most: never
// (0) before the open jobs were read.
func (v *OpenJobsView) ValidUntil(maxAge time.Duration) time.Duration {
	if !v.loaded {
		return 0
	}
	return v.asOf + maxAge
}

// Read takes that the open jobs were read, as of when they were asked for: nobody can have
// been told of an end that was not stored by then.
func (v *OpenJobsView) Read(askedAt time.Duration) {
	v.loaded, v.asOf = true, max(v.asOf, askedAt)
	maps.DeleteFunc(v.cancelled, func(_ model.JobID, addedAt time.Duration) bool { return addedAt < askedAt })
}

// AddCancelled takes a controller's word that it told a user of a cancellation; anew is false if
// that was heard before.
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

// IsCancelled tells whether a job that was asked for before it was heard of is cancelled.
func (v *OpenJobsView) IsCancelled(job model.JobID) bool {
	_, cancelled := v.cancelled[job]
	return cancelled
}

// ApplyCoverage takes the words of all other controllers, and the leader's own, which is always of
// now. A word that begins later than the picture leaves a gap: its controller may have told
// anything in an earlier life.
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
