package fleet

import (
	"time"

	"honeylock/internal/core/model"
)

// patience is how long a machine may stand idle: the dearer, the shorter. In a
// lull it is long, for a machine that is rented anew boots and fetches images
// first.
func (f *Fleet) patience(m *model.Machine, slackening bool) time.Duration {
	d := f.p.IdleReturn
	if slackening {
		d /= 6
	}
	return time.Duration(float64(d) / max(1, f.price(m)/f.cheapest()))
}

// surplus picks machines to give back: those that never came up, failed, or
// went silent for good, and those that stand idle and that plans' moves need no room on.
func (f *Fleet) surplus(now time.Duration, status []model.MachineStatus, rooms []room, slackening bool,
	moving int64) []model.MachineID {
	out := f.lost(now)
	out = append(out, f.idle(now, rooms, slackening, moving)...)
	for i := range status {
		s := &status[i]
		if u := f.units[s.Machine.ID]; u != nil && !u.drop && !u.held && s.Faulty && s.Slots == 0 {
			out = append(out, s.Machine.ID)
		}
	}
	return f.giveBack(out)
}

// lost are the machines that never came up, failed, or went silent for good.
func (f *Fleet) lost(now time.Duration) []model.MachineID {
	var out []model.MachineID
	cut := f.cutZones()
	for id, u := range f.units {
		if u.drop {
			continue
		}
		t := f.typeOf(u.typ)
		patience := silentLong
		if cut[u.zone] {
			patience = cutLong
		}
		switch {
		case u.failed,
			!u.heard && t != nil && now-max(u.since, f.p.TermStart) > 4*t.Boot+20*time.Second,
			u.silent != 0 && now-u.silent > 20*time.Second && now-u.listed > 2*f.p.ListLag,
			u.silent != 0 && now-u.silent > patience:
			out = append(out, id)
		}
	}
	return out
}

// idle are the machines that stand idle for longer than their price allows, as far as enough
// room is left for what moves.
func (f *Fleet) idle(now time.Duration, rooms []room, slackening bool, moving int64) []model.MachineID {
	var out []model.MachineID
	free := freeCPU(rooms)
	for i := range rooms {
		r := &rooms[i]
		if r.status == nil || r.used || r.status.Slots > 0 {
			continue
		}
		if p := f.patience(&r.m, slackening); now-r.status.IdleSince < p || now-f.want < p/2 {
			continue
		}
		left := free - max(0, r.avail.CPU)
		if left < moving {
			continue
		}
		if u := f.units[r.m.ID]; u != nil && !u.drop && u.silent == 0 {
			out = append(out, r.m.ID)
			free = left
		}
	}
	return out
}
