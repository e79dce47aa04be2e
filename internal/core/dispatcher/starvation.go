package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"honeylock/internal/core/model"
	"honeylock/internal/core/starvation"
)

// The exception to price times wait, for nobody may be starved: a job of which no task
// has begun for Params.Begin has its first task dealt and placed before all else. It may
// evict what its price lets it, no more; where no machine has room for the task, its
// shard keeps one free of other work until it has. From its second task on it waits in
// the order as ever.

const (
	starvationInterval = time.Second
	expediteInterval   = 10 * time.Second // a shard forgets it after a while, and may be new
)

// updateStarvation finds the jobs that should have begun, and tells the shards.
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
			Tasks: j.spec.Tasks,
			Since: j.waitingSince, Begun: j.started})
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

// Starvation tells what part of each class, team and size has begun.
func (d *Dispatcher) Starvation(now time.Duration) []starvation.GroupStats {
	if d.starvation == nil {
		return nil
	}
	return d.starvation.GroupStats(now)
}

// sortByPriority puts the jobs to deal in order: those that should have begun, by their wait,
// then by priority times wait.
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

// dispatchExpedited deals the first task of a late job whose tasks are pinned to zones, though
// none has room: its shard is to make some. Pinned jobs are else dealt only where there
// is room, and what is dealt ahead takes it first.
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
