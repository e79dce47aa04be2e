package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"honeylock/internal/core/model"
	"honeylock/internal/core/starvation"
)

// Starvation is the exception to the order by price and waiting time. A job without a started task
// for Params.StartWithin is overdue: its first task is dispatched and placed before all others. It
// may evict only what its price allows. If no machine has free capacity for the task, its shard
// reserves a machine until it has. From the second task on, the usual order applies.

const (
	starvationInterval = time.Second
	expediteInterval   = 10 * time.Second // repeated because shards forget it after a while, and new shards join
)

// updateStarvation finds the overdue jobs and orders the shards to expedite them.
func (d *Dispatcher) updateStarvation(now time.Duration, jobs []*job) {
	if d.params.StartWithin <= 0 || d.starvationUpdatedAt != 0 && now-d.starvationUpdatedAt < starvationInterval {
		return
	}
	d.starvationUpdatedAt = now
	if d.starvation == nil {
		d.starvation = starvation.New(d.params.StartWithin)
	}
	unfinished := make([]starvation.Job, 0, len(jobs))
	for _, j := range jobs {
		j.overdue = false
		if j.ended || j.onHold || j.failures.broken {
			continue
		}
		j.started = j.started || j.doneCount > 0 || len(j.assignments) > 0 && d.TaskCounts(j.spec.ID).Running > 0
		unfinished = append(unfinished, starvation.Job{ID: j.spec.ID, Class: j.spec.Class, Team: j.spec.Team,
			Tasks:        j.spec.Tasks,
			WaitingSince: j.waitingSince, Started: j.started})
	}
	d.starvation.Update(now, unfinished)
	for _, id := range d.starvation.Overdue() {
		j := d.jobs[id]
		j.overdue = true
		if j.expeditedAt == 0 || now-j.expeditedAt >= expediteInterval {
			j.expeditedAt = now
			d.broadcast(model.Order{Kind: model.ExpediteJob, Job: id})
		}
	}
}

// Starvation returns the fractions of jobs that have started, by class, team and size.
func (d *Dispatcher) Starvation(now time.Duration) []starvation.GroupStats {
	if d.starvation == nil {
		return nil
	}
	return d.starvation.GroupStats(now)
}

// sortByPriority sorts the jobs to dispatch: overdue jobs first, those that have waited longest
// before others, then the rest by their score of price and waiting time.
func (d *Dispatcher) sortByPriority(now time.Duration, jobs []*job) {
	score := func(j *job) float64 { return j.spec.Score(j.price, now-j.waitingSince) }
	slices.SortStableFunc(jobs, func(a, b *job) int {
		switch {
		case a.overdue != b.overdue && a.overdue:
			return -1
		case a.overdue != b.overdue:
			return 1
		case a.overdue:
			return cmp.Compare(a.waitingSince, b.waitingSince)
		}
		return cmp.Compare(score(b), score(a))
	})
}

// dispatchExpedited dispatches the first task of an overdue pinned job without free capacity for
// it; its shard frees some. It chooses the shard and zone with the most suitable machines. Other
// tasks of pinned jobs are dispatched only to free capacity, which tasks dispatched ahead would
// always take first.
func (d *Dispatcher) dispatchExpedited(j *job, members []*member) {
	if !j.overdue || len(j.assignments) > 0 {
		return
	}
	var best batch
	for _, m := range members {
		zones := map[model.Name]int64{}
		for _, machine := range d.machinesByID {
			if machine.owner == m.id && machine.statusKnown() && machine.status.Ready && j.spec.Allows(&machine.Machine) &&
				j.spec.PerTask.Fits(machine.Cap) {
				zones[machine.Zone]++
			}
		}
		for z, n := range zones {
			if n > best.count || n == best.count && best.shard == m && z < best.zone {
				best = batch{m, z, n}
			}
		}
	}
	if best.count > 0 {
		d.dispatchOne(j, best.shard.id, best.zone)
	}
}
