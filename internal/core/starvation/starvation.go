// Package starvation detects jobs and groups of jobs that are starved. It watches that every job's first task begins in
// time, and which part of each class, of each team, and of each class's largest jobs has
// begun. The paper's order accepts that low priorities starve; the users' rules don't.
// It is a state machine without input or output; times are the steady clock's.
package starvation

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

// Kind of a group of jobs.
type Kind uint8

// Kinds.
const (
	Class Kind = iota
	Team
	Largest // of a class: the tenth with most tasks
)

// Group names jobs that have something in common.
type Group struct {
	Kind Kind
	Name model.Name
}

// GroupStats tells how many jobs of a group have begun, of those that have or should have.
type GroupStats struct {
	Group
	Begun, Overdue int
	LongestWait    time.Duration // wait to begin, of those that wait included
}

// BegunFraction is the part that has begun; 1 where nothing is due.
func (s *GroupStats) BegunFraction() float64 {
	if s.Begun+s.Overdue == 0 {
		return 1
	}
	return float64(s.Begun) / float64(s.Begun+s.Overdue)
}

const (
	// MinBegunFraction is below which part a group is reported; the rules ask for one half.
	MinBegunFraction  = 0.7
	minDueJobs        = 4 // jobs that are due, for a part to say something
	largestPercentile = 90
	maxTasks          = 100_000 // tasks of a job, by the protocol
)

// Detector is the state machine; a leader has one.
type Detector struct {
	beginWithin time.Duration
	jobs        map[model.JobID]Job
	stats       map[Group]*GroupStats
	sizes       map[model.Name]*hdrhistogram.Histogram
	overdue     []model.JobID
}

// New returns a detector for jobs that should begin within so long.
func New(beginWithin time.Duration) *Detector {
	return &Detector{beginWithin: beginWithin, jobs: map[model.JobID]Job{}, stats: map[Group]*GroupStats{},
		sizes: map[model.Name]*hdrhistogram.Histogram{}}
}

// Update takes all open jobs that may begin. What is no longer among them has ended: one
// that had not begun was cancelled, or done before this leader saw it run.
func (d *Detector) Update(now time.Duration, jobs []Job) {
	current := make(map[model.JobID]Job, len(jobs))
	d.overdue = d.overdue[:0]
	for _, j := range jobs {
		previous, known := d.jobs[j.ID]
		if !known {
			_ = d.sizeHistogram(j.Class).RecordValue(int64(max(1, j.Tasks))) // it is in range
		}
		if j.Begun && !previous.Begun {
			for _, group := range d.groupsOf(&j) {
				s := d.statsFor(group)
				s.Begun++
				if known {
					s.LongestWait = max(s.LongestWait, now-j.Since)
				}
			}
		}
		j.Begun = j.Begun || previous.Begun
		if !j.Begun && now-j.Since > d.beginWithin {
			d.overdue = append(d.overdue, j.ID)
		}
		current[j.ID] = j
	}
	d.jobs = current
	slices.SortFunc(d.overdue, func(x, y model.JobID) int {
		return cmp.Or(cmp.Compare(current[x].Since, current[y].Since), cmp.Compare(x, y))
	})
}

// Overdue are the jobs that should have begun, the longest wait first.
func (d *Detector) Overdue() []model.JobID { return d.overdue }

func (d *Detector) sizeHistogram(class model.Name) *hdrhistogram.Histogram {
	h := d.sizes[class]
	if h == nil {
		h = hdrhistogram.New(1, maxTasks, 2)
		d.sizes[class] = h
	}
	return h
}

func (d *Detector) statsFor(group Group) *GroupStats {
	s := d.stats[group]
	if s == nil {
		s = &GroupStats{Group: group}
		d.stats[group] = s
	}
	return s
}

// groupsOf are those that a job counts for.
func (d *Detector) groupsOf(j *Job) []Group {
	out := []Group{{Class, j.Class}, {Team, j.Team}}
	if int64(j.Tasks) > d.sizeHistogram(j.Class).ValueAtPercentile(largestPercentile) {
		out = append(out, Group{Largest, j.Class})
	}
	return out
}

// GroupStats are those of all groups, with the jobs that are late now.
func (d *Detector) GroupStats(now time.Duration) []GroupStats {
	all := make(map[Group]GroupStats, len(d.stats))
	for group, s := range d.stats {
		all[group] = *s
	}
	for _, id := range d.overdue {
		j := d.jobs[id]
		for _, group := range d.groupsOf(&j) {
			s := all[group]
			s.Group = group
			s.Overdue++
			s.LongestWait = max(s.LongestWait, now-j.Since)
			all[group] = s
		}
	}
	out := make([]GroupStats, 0, len(all))
	for _, s := range all {
		out = append(out, s)
	}
	slices.SortFunc(out, func(x, y GroupStats) int {
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Name, y.Name))
	})
	return out
}

// Starved are the groups of which too little has begun.
func Starved(stats []GroupStats) []GroupStats {
	var starved []GroupStats
	for _, s := range stats {
		if s.Begun+s.Overdue >= minDueJobs && s.BegunFraction() < MinBegunFraction {
			starved = append(starved, s)
		}
	}
	return starved
}
