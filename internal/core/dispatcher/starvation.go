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
	watchEvery = time.Second
	pressEvery = 10 * time.Second // a shard forgets it after a while, and may be new
)

// watch finds the jobs that should have begun, and tells the shards.
func (d *Dispatcher) watch(now time.Duration, jobs []*job) {
	if d.p.StartWithin <= 0 || d.watched != 0 && now-d.watched < watchEvery {
		return
	}
	d.watched = now
	if d.starvation == nil {
		d.starvation = starvation.New(d.p.StartWithin)
	}
	open := make([]starvation.Job, 0, len(jobs))
	for _, j := range jobs {
		j.late = false
		if j.ended || j.waits || j.trouble.broken {
			continue
		}
		j.begun = j.begun || j.nDone > 0 || len(j.held) > 0 && d.TaskCounts(j.spec.ID).Running > 0
		open = append(open, starvation.Job{ID: j.spec.ID, Class: j.spec.Class, Team: j.spec.Team, Tasks: j.spec.Tasks,
			Since: j.since, Begun: j.begun})
	}
	d.starvation.Update(now, open)
	for _, id := range d.starvation.Overdue() {
		j := d.jobs[id]
		j.late = true
		if j.pressed == 0 || now-j.pressed >= pressEvery {
			j.pressed = now
			d.toAll(model.Order{Kind: model.ExpediteJob, Job: id})
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

// ranked puts the jobs to deal in order: those that should have begun, by their wait,
// then by priority times wait.
func (d *Dispatcher) ranked(now time.Duration, jobs []*job) {
	score := func(j *job) float64 { return j.spec.Score(j.price, now-j.since) }
	slices.SortStableFunc(jobs, func(a, b *job) int {
		switch {
		case a.late != b.late && a.late:
			return -1
		case a.late != b.late:
			return 1
		case a.late:
			return cmp.Compare(a.since, b.since)
		}
		return cmp.Compare(score(b), score(a))
	})
}

// dealFirst deals the first task of a late job whose tasks are pinned to zones, though
// none has room: its shard is to make some. Pinned jobs are else dealt only where there
// is room, and what is dealt ahead takes it first.
func (d *Dispatcher) dealFirst(j *job, members []*member) {
	if !j.late || len(j.held) > 0 {
		return
	}
	var best part
	for _, m := range members {
		zones := map[model.Name]int64{}
		for _, k := range d.byID {
			if k.owner == m.id && k.known() && k.status.Ready && j.spec.Allows(&k.Machine) && j.spec.PerTask.Fits(k.Cap) {
				zones[k.Zone]++
			}
		}
		for z, n := range zones {
			if n > best.n || n == best.n && best.to == m && z < best.zone {
				best = part{m, z, n}
			}
		}
	}
	if best.n > 0 {
		d.dealOne(j, best.to.id, best.zone)
	}
}
