// Package starvation detects jobs and groups of jobs that starve. It checks whether the first task of
// each job begins in time, and which fraction of the jobs of each class, of each team, and of each
// class's largest jobs has begun. Placement by priority alone lets low priorities starve, which the
// guarantees to users do not allow. It is a state machine without input or output; times are those of the
// monotonic clock.
package starvation

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"honeylock/internal/core/model"
)

// Job is an open job that may begin, as the dispatcher sees it.
type Job struct {
	ID           model.JobID
	Class        model.Name
	Team         model.Name
	Tasks        int32
	WaitingSince time.Duration // when it began to wait
	Started      bool          // a task of it has run or is running
}

// Kind is the kind of a group of jobs.
type Kind uint8

// Kinds of groups.
const (
	Class Kind = iota
	Team
	Largest // of a class: the tenth of its jobs with the most tasks
)

// Group identifies a group of jobs.
type Group struct {
	Kind Kind
	Name model.Name
}

// GroupStats counts the jobs of a group that have begun, and those that have not but should have.
type GroupStats struct {
	Group
	Started, Overdue int
	LongestWait      time.Duration // to begin, including jobs that still wait
}

// StartedFraction returns the fraction of the due jobs that has begun; 1 if none is due.
func (s *GroupStats) StartedFraction() float64 {
	if s.Started+s.Overdue == 0 {
		return 1
	}
	return float64(s.Started) / float64(s.Started+s.Overdue)
}

const (
	// MinStartedFraction is the fraction below which a group is reported as starved. The guarantee to
	// users is one half.
	MinStartedFraction = 0.7
	minDueJobs         = 4 // number of due jobs below which a fraction is not significant
	largestPercentile  = 90
	maxTasks           = 100_000 // of a job, by the protocol
)

// Detector is the state machine of a leader.
type Detector struct {
	beginWithin time.Duration
	jobs        map[model.JobID]Job
	stats       map[Group]*GroupStats
	sizes       map[model.Name]*hdrhistogram.Histogram
	overdue     []model.JobID
}

// New returns a Detector for jobs whose first task should begin within a time.
func New(beginWithin time.Duration) *Detector {
	return &Detector{beginWithin: beginWithin, jobs: map[model.JobID]Job{}, stats: map[Group]*GroupStats{},
		sizes: map[model.Name]*hdrhistogram.Histogram{}}
}

// Update takes all open jobs that may begin. A job that is no longer among them has ended; if it had
// not begun, it was cancelled, or completed before this leader saw it run.
func (d *Detector) Update(now time.Duration, jobs []Job) {
	current := make(map[model.JobID]Job, len(jobs))
	d.overdue = d.overdue[:0]
	for _, j := range jobs {
		previous, known := d.jobs[j.ID]
		if !known {
			_ = d.sizeHistogram(j.Class).RecordValue(int64(max(1, j.Tasks))) // always in range
		}
		if j.Started && !previous.Started {
			for _, group := range d.groupsOf(&j) {
				s := d.statsFor(group)
				s.Started++
				if known {
					s.LongestWait = max(s.LongestWait, now-j.WaitingSince)
				}
			}
		}
		j.Started = j.Started || previous.Started
		if !j.Started && now-j.WaitingSince > d.beginWithin {
			d.overdue = append(d.overdue, j.ID)
		}
		current[j.ID] = j
	}
	d.jobs = current
	slices.SortFunc(d.overdue, func(x, y model.JobID) int {
		return cmp.Or(cmp.Compare(current[x].WaitingSince, current[y].WaitingSince), cmp.Compare(x, y))
	})
}

// Overdue returns the jobs that should have begun and have not, the longest wait first.
func (d *Detector) Overdue() []model.JobID { return d.overdue }

// sizeHistogram returns the distribution of the task counts of a class's jobs.
func (d *Detector) sizeHistogram(class model.Name) *hdrhistogram.Histogram {
	h := d.sizes[class]
	if h == nil {
		h = hdrhistogram.New(1, maxTasks, 2)
		d.sizes[class] = h
	}
	return h
}

// statsFor returns the statistics of a group, which it creates if necessary.
func (d *Detector) statsFor(group Group) *GroupStats {
	s := d.stats[group]
	if s == nil {
		s = &GroupStats{Group: group}
		d.stats[group] = s
	}
	return s
}

// groupsOf returns the groups that a job belongs to.
func (d *Detector) groupsOf(j *Job) []Group {
	out := []Group{{Class, j.Class}, {Team, j.Team}}
	if int64(j.Tasks) > d.sizeHistogram(j.Class).ValueAtPercentile(largestPercentile) {
		out = append(out, Group{Largest, j.Class})
	}
	return out
}

// GroupStats returns the statistics of all groups, including the jobs that are overdue now.
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
			s.LongestWait = max(s.LongestWait, now-j.WaitingSince)
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

// Starved returns the groups with enough due jobs of which too few have begun.
func Starved(stats []GroupStats) []GroupStats {
	var starved []GroupStats
	for _, s := range stats {
		if s.Started+s.Overdue >= minDueJobs && s.StartedFraction() < MinStartedFraction {
			starved = append(starved, s)
		}
	}
	return starved
}
