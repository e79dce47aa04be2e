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
	// keptFor is how long an acknowledgement is kept for a leader to come: one who lived through a
	// longer outage than that goes by the state service again.
	keptFor = 10 * time.Minute
	most    = 20_000
)

type acknowledged struct {
	job model.JobID
	at  time.Duration
}

// Log is what one controller has told users in this life.
type Log struct {
	since   time.Duration // it is complete from then on
	dropped int           // entries that are kept no longer
	kept    []acknowledged
	told    map[model.JobID]bool // of kept
}

// NewLog begins with the controller's life.
func NewLog(now time.Duration) *Log { return &Log{since: now, told: map[model.JobID]bool{}} }

// Acknowledge notes that a user is about to be told that a job is cancelled.
func (l *Log) Acknowledge(now time.Duration, job model.JobID) {
	if !l.told[job] {
		l.told[job] = true
		l.kept = append(l.kept, acknowledged{job, now})
	}
	drop := 0
	for drop < len(l.kept) && (now-l.kept[drop].at > keptFor || len(l.kept)-drop > most) {
		l.since = l.kept[drop].at + 1
		delete(l.told, l.kept[drop].job)
		drop++
	}
	l.kept = l.kept[drop:]
	l.dropped += drop
}

// CompleteSince is the moment from which on nothing is missing.
func (l *Log) CompleteSince() time.Duration { return l.since }

// EntriesFrom returns the jobs told from the n-th entry on, and what to ask from next time.
func (l *Log) EntriesFrom(n int) (jobs []model.JobID, next int) {
	for _, t := range l.kept[max(0, n-l.dropped):] {
		jobs = append(jobs, t.job)
	}
	return jobs, l.dropped + len(l.kept)
}

// Coverage is how far one controller's acknowledgements are known: all that it told users in between.
type Coverage struct {
	Since, Until time.Duration
}

// OpenJobsView is a leader's of the open jobs. It knows of every cancellation that a user was told
// of up to some moment; before the open jobs were read, of none.
type OpenJobsView struct {
	read bool
	at   time.Duration
	// over are the cancelled jobs that a controller told of, and when the leader heard it:
	// what was asked for before may still show them as open.
	over map[model.JobID]time.Duration
}

// ValidUntil is until when a leader may act on the picture, where it may be so old at most: never
// (0) before the open jobs were read.
func (p *OpenJobsView) ValidUntil(bound time.Duration) time.Duration {
	if !p.read {
		return 0
	}
	return p.at + bound
}

// Read takes that the open jobs were read, as of when they were asked for: nobody can have
// been told of an end that was not stored by then.
func (p *OpenJobsView) Read(asked time.Duration) {
	p.read, p.at = true, max(p.at, asked)
	maps.DeleteFunc(p.over, func(_ model.JobID, heard time.Duration) bool { return heard < asked })
}

// AddCancelled takes a controller's word that it told a user of a cancellation; anew is false if
// that was heard before.
func (p *OpenJobsView) AddCancelled(now time.Duration, job model.JobID) (anew bool) {
	if p.over == nil {
		p.over = map[model.JobID]time.Duration{}
	}
	_, known := p.over[job]
	if !known {
		p.over[job] = now
	}
	return !known
}

// IsCancelled tells whether a job that was asked for before it was heard of is cancelled.
func (p *OpenJobsView) IsCancelled(job model.JobID) bool { _, over := p.over[job]; return over }

// ApplyCoverage takes the words of all other controllers, and the leader's own, which is always of
// now. A word that begins later than the picture leaves a gap: its controller may have told
// anything in an earlier life.
func (p *OpenJobsView) ApplyCoverage(now time.Duration, words []Coverage) {
	if !p.read {
		return
	}
	until := now
	for _, w := range words {
		if w.Since > p.at {
			return
		}
		until = min(until, w.Until)
	}
	p.at = max(p.at, until)
}
