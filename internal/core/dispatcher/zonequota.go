package dispatcher

import (
	"maps"

	"honeylock/internal/core/model"
)

// ZoneQuota tells how many tasks of a job may be in each zone, given those that are in zones already. It
// decides both where tasks are dispatched and which free capacity counts as capacity for them, so that
// nobody waits for capacity that the job may not use. The zero value sets no limits.
type ZoneQuota struct {
	sameZone bool
	perZone  int64                // most tasks in one zone; 0: no limit
	tasks    map[model.Name]int64 // in each zone; only kept for jobs with one of these rules
}

// NewZoneQuota returns the quota of a job with the given numbers of tasks in each zone.
func NewZoneQuota(spec *model.Spec, inZone map[model.Name]int32) ZoneQuota {
	q := ZoneQuota{sameZone: spec.SameZone}
	if spec.Spread {
		q.perZone = int64(maxPerZone(spec))
	}
	for zone, n := range inZone {
		q.Add(zone, int64(n))
	}
	return q
}

// limited reports whether the zones of the job's tasks depend on each other.
func (q *ZoneQuota) limited() bool { return q.sameZone || q.perZone > 0 }

// Room returns how many more tasks may be in a zone.
func (q *ZoneQuota) Room(zone model.Name) int64 {
	switch {
	case q.sameZone && len(q.tasks) > 0 && q.tasks[zone] == 0:
		return 0
	case q.perZone > 0:
		return max(0, q.perZone-q.tasks[zone])
	}
	return unlimited
}

// ChoosesZone reports whether the first task decides on the zone of all others, and none has yet.
func (q *ZoneQuota) ChoosesZone() bool { return q.sameZone && len(q.tasks) == 0 }

// Add counts n more tasks in a zone.
func (q *ZoneQuota) Add(zone model.Name, n int64) {
	if !q.limited() || n <= 0 {
		return
	}
	if q.tasks == nil {
		q.tasks = map[model.Name]int64{}
	}
	q.tasks[zone] += n
}

// Without returns the quota without up to n of the tasks in each zone: those that have been dispatched
// there, but wait for a machine. It is not known in which zones they are, so the quota is an upper bound.
func (q *ZoneQuota) Without(n int64) ZoneQuota {
	out := q.Clone()
	if out.perZone == 0 {
		return out
	}
	for zone := range out.tasks {
		out.tasks[zone] -= min(n, out.tasks[zone])
	}
	return out
}

// Clone returns a copy that can be changed on its own.
func (q *ZoneQuota) Clone() ZoneQuota {
	out := *q
	out.tasks = maps.Clone(q.tasks)
	return out
}
