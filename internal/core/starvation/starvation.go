// Package floor watches that nobody is starved: that every job's first task begins in
// time, and which part of each class, of each team, and of each class's largest jobs has
// begun. The paper's order accepts that low priorities starve; the users' rules don't.
// It is a state machine without input or output; times are the steady clock's.
package floor

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"honeylock/internal/core/model"
)

// Job is an open job that may begin, as the dealer sees it.
type Job struct {
	ID    model.JobID
	Class model.Name
	Team  model.Name
	Tasks int32
	Since time.Duration // it waits since
	Begun bool          // a task of it has run, or runs
}

// Kind of a floor.
type Kind uint8

// Kinds.
const (
	Class Kind = iota
	Team
	Largest // of a class: the tenth with most tasks
)

// Of names what a floor is about.
type Of struct {
	Kind Kind
	Name model.Name
}

// Share is how a floor stands: of the jobs that have begun, or should have, how many have.
type Share struct {
	Of
	Begun, Late int
	Longest     time.Duration // wait to begin, of those that wait included
}

// Part is the part that has begun; 1 where nothing is due.
func (s *Share) Part() float64 {
	if s.Begun+s.Late == 0 {
		return 1
	}
	return float64(s.Begun) / float64(s.Begun+s.Late)
}

const (
	// InDanger is below which part a floor is told; the rules ask for one half.
	InDanger = 0.7
	enough   = 4 // jobs that are due, for a part to say something
	largest  = 90
	mostSize = 100_000 // tasks of a job, by the protocol
)

// Book is what one leader has seen.
type Book struct {
	within time.Duration
	jobs   map[model.JobID]Job
	begun  map[Of]*Share
	sizes  map[model.Name]*hdrhistogram.Histogram
	late   []model.JobID
}

// New returns a book for jobs that should begin within so long.
func New(within time.Duration) *Book {
	return &Book{within: within, jobs: map[model.JobID]Job{}, begun: map[Of]*Share{},
		sizes: map[model.Name]*hdrhistogram.Histogram{}}
}

// See takes all open jobs that may begin. What is no longer among them has ended: one
// that had not begun was cancelled, or done before this leader saw it run.
func (b *Book) See(now time.Duration, jobs []Job) {
	seen := make(map[model.JobID]Job, len(jobs))
	b.late = b.late[:0]
	for _, j := range jobs {
		was, known := b.jobs[j.ID]
		if !known {
			_ = b.size(j.Class).RecordValue(int64(max(1, j.Tasks))) // it is in range
		}
		if j.Begun && !was.Begun {
			for _, of := range b.floors(&j) {
				s := b.share(of)
				s.Begun++
				if known {
					s.Longest = max(s.Longest, now-j.Since)
				}
			}
		}
		j.Begun = j.Begun || was.Begun
		if !j.Begun && now-j.Since > b.within {
			b.late = append(b.late, j.ID)
		}
		seen[j.ID] = j
	}
	b.jobs = seen
	slices.SortFunc(b.late, func(x, y model.JobID) int {
		return cmp.Or(cmp.Compare(seen[x].Since, seen[y].Since), cmp.Compare(x, y))
	})
}

// Late are the jobs that should have begun, the longest wait first.
func (b *Book) Late() []model.JobID { return b.late }

func (b *Book) size(class model.Name) *hdrhistogram.Histogram {
	h := b.sizes[class]
	if h == nil {
		h = hdrhistogram.New(1, mostSize, 2)
		b.sizes[class] = h
	}
	return h
}

func (b *Book) share(of Of) *Share {
	s := b.begun[of]
	if s == nil {
		s = &Share{Of: of}
		b.begun[of] = s
	}
	return s
}

// floors are those that a job counts for.
func (b *Book) floors(j *Job) []Of {
	out := []Of{{Class, j.Class}, {Team, j.Team}}
	if int64(j.Tasks) > b.size(j.Class).ValueAtPercentile(largest) {
		out = append(out, Of{Largest, j.Class})
	}
	return out
}

// Shares are all floors, with the jobs that are late now.
func (b *Book) Shares(now time.Duration) []Share {
	all := make(map[Of]Share, len(b.begun))
	for of, s := range b.begun {
		all[of] = *s
	}
	for _, id := range b.late {
		j := b.jobs[id]
		for _, of := range b.floors(&j) {
			s := all[of]
			s.Of = of
			s.Late++
			s.Longest = max(s.Longest, now-j.Since)
			all[of] = s
		}
	}
	out := make([]Share, 0, len(all))
	for _, s := range all {
		out = append(out, s)
	}
	slices.SortFunc(out, func(x, y Share) int {
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Name, y.Name))
	})
	return out
}

// Danger are the floors of which too little has begun.
func Danger(shares []Share) []Share {
	var out []Share
	for _, s := range shares {
		if s.Begun+s.Late >= enough && s.Part() < InDanger {
			out = append(out, s)
		}
	}
	return out
}
