// Package quota keeps what operators have changed about teams' limits and guarantees
// while the service runs: at once or until a time of day, stored, and taken up by any
// leader. It is a state machine of the leader's, without input or output.
//
// A change acts once it is surely stored: before, a leader that follows would not know of
// it. A limit never goes above the platform's, which users count on.
package quota

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/segmentio/encoding/json"

	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/model"
)

// recordVersion of stored changes. What a newer release wrote is left alone.
const recordVersion = 1

// Change of a team. Amounts are in thousandths; nil: as the platform has it.
type Change struct {
	LimitCPU     *int64 `json:"limit_cpu,omitempty"`
	LimitGPU     *int64 `json:"limit_gpu,omitempty"`
	GuaranteeCPU *int64 `json:"guarantee_cpu,omitempty"`
	GuaranteeGPU *int64 `json:"guarantee_gpu,omitempty"`
	UntilMS      int64  `json:"until_ms,omitempty"` // time of day; 0: until it is unset
	By           string `json:"by"`
	AtMS         int64  `json:"at_ms"`
}

func (c *Change) empty() bool {
	return c.LimitCPU == nil && c.LimitGPU == nil && c.GuaranteeCPU == nil && c.GuaranteeGPU == nil
}

// over tells whether the time that a change was made for has come.
func (c *Change) over(wall time.Time) bool { return c.UntilMS > 0 && wall.UnixMilli() >= c.UntilMS }

// on is a team with the change made.
func (c *Change) on(t dispatcher.Team) dispatcher.Team {
	for _, f := range []struct {
		to *int64
		v  *int64
	}{{&t.Limit.CPU, c.LimitCPU}, {&t.Limit.GPU, c.LimitGPU}, {&t.Guarantee.CPU, c.GuaranteeCPU},
		{&t.Guarantee.GPU, c.GuaranteeGPU}} {
		if f.v != nil {
			*f.to = *f.v
		}
	}
	return t
}

type record struct {
	V int `json:"v"`
	Change
}

// entry is what is kept of a team that was changed.
type entry struct {
	want, acts Change
	version    uint64 // of the stored record, 0: none
	gen        uint64
	stored     uint64
	sending    uint64
	foreign    string // why this release does not touch the record
}

// Overrides is the state machine.
type Overrides struct {
	base []dispatcher.Team
	of   map[model.Name]*entry
}

// New returns a book without changes to the platform's teams.
func New(base []dispatcher.Team) *Overrides {
	return &Overrides{base: base, of: map[model.Name]*entry{}}
}

func (b *Overrides) entry(team model.Name) *entry {
	e := b.of[team]
	if e == nil {
		e = &entry{}
		b.of[team] = e
	}
	return e
}

// Load takes a stored change.
func (b *Overrides) Load(team model.Name, value []byte, version uint64) {
	e := b.entry(team)
	e.version = version
	var r record
	switch err := json.Unmarshal(value, &r); {
	case err != nil:
		e.foreign = "its record is unreadable: " + err.Error()
	case r.V != recordVersion:
		e.foreign = fmt.Sprintf("a newer release wrote it (version %d)", r.V)
	default:
		e.want, e.acts = r.Change, r.Change
	}
}

// RefusedError says why a change can't be made.
type RefusedError struct{ Reason string }

func (r *RefusedError) Error() string { return r.Reason }

func refuse(format string, args ...any) error { return &RefusedError{fmt.Sprintf(format, args...)} }

// Set changes a team; what c leaves out stays as it was changed before.
func (b *Overrides) Set(wall time.Time, team model.Name, c Change) error {
	e := b.entry(team)
	if e.foreign != "" {
		return refuse("the team can't be changed here: %s", e.foreign)
	}
	next := e.want
	for _, f := range []struct{ to, v **int64 }{{&next.LimitCPU, &c.LimitCPU}, {&next.LimitGPU, &c.LimitGPU},
		{&next.GuaranteeCPU, &c.GuaranteeCPU}, {&next.GuaranteeGPU, &c.GuaranteeGPU}} {
		if *f.v != nil {
			*f.to = *f.v
		}
	}
	next.UntilMS, next.By, next.AtMS = c.UntilMS, c.By, wall.UnixMilli()
	base, t := b.base[team], next.on(b.base[team])
	for _, x := range []struct {
		what             string
		base, limit, has int64
	}{{"cpus", base.Limit.CPU, t.Limit.CPU, t.Guarantee.CPU}, {"gpus", base.Limit.GPU, t.Limit.GPU, t.Guarantee.GPU}} {
		if x.base > 0 && x.limit > x.base {
			return refuse("limit_%s: %g is above the platform's limit of %g", x.what, amount(x.limit), amount(x.base))
		}
		if x.limit > 0 && x.has > x.limit {
			return refuse("guarantee_%s: %g is above the limit of %g", x.what, amount(x.has), amount(x.limit))
		}
	}
	if next.over(wall) {
		return refuse("until: %s is over", time.UnixMilli(next.UntilMS).UTC().Format(time.RFC3339))
	}
	e.want = next
	e.gen++
	return nil
}

func amount(n int64) float64 { return float64(n) / 1000 }

// Unset takes a team's changes back.
func (b *Overrides) Unset(team model.Name) error {
	e := b.of[team]
	if e != nil && e.foreign != "" {
		return refuse("the team can't be changed here: %s", e.foreign)
	}
	if e == nil || e.want.empty() {
		return nil
	}
	e.want = Change{}
	e.gen++
	return nil
}

// Expire takes changes back whose time is over.
func (b *Overrides) Expire(wall time.Time) {
	for _, e := range b.of {
		if e.foreign == "" && !e.want.empty() && e.want.over(wall) {
			e.want = Change{}
			e.gen++
		}
	}
}

// Team is a team's limit and guarantee now.
func (b *Overrides) Team(team model.Name, wall time.Time) dispatcher.Team {
	if e := b.of[team]; e != nil && !e.acts.over(wall) {
		return e.acts.on(b.base[team])
	}
	return b.base[team]
}

// Active is the change that acts on a team, and whether there is one.
func (b *Overrides) Active(team model.Name, wall time.Time) (Change, bool) {
	e := b.of[team]
	if e == nil || e.acts.empty() || e.acts.over(wall) {
		return Change{}, false
	}
	return e.acts, true
}

// Synced tells whether all that was changed about a team is surely stored.
func (b *Overrides) Synced(team model.Name) bool {
	e := b.of[team]
	return e == nil || e.stored == e.gen
}

// HasPendingWrites tells whether anything is to be stored.
func (b *Overrides) HasPendingWrites() bool {
	for _, e := range b.of {
		if e.foreign == "" && e.stored != e.gen {
			return true
		}
	}
	return false
}

// Write is a change for the state service. It comes back through Wrote.
type Write struct {
	Team    model.Name
	Version uint64 // of the record that it replaces, 0: none
	Value   []byte // nil: the record goes
	gen     uint64
	change  Change
}

// Writes returns at most n records to be stored.
func (b *Overrides) Writes(n int) []Write {
	var out []Write
	for team, e := range b.of {
		if e.foreign != "" || e.sending != 0 || e.stored == e.gen {
			continue
		}
		w := Write{Team: team, Version: e.version, gen: e.gen, change: e.want}
		if !e.want.empty() {
			v, err := json.Marshal(record{recordVersion, e.want})
			if err != nil {
				continue // plain values always encode
			}
			w.Value = v
		}
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b Write) int { return cmp.Compare(a.Team, b.Team) })
	out = out[:min(max(0, n), len(out))]
	for _, w := range out {
		b.of[w.Team].sending = w.gen
	}
	return out
}

// WriteDone takes a write's outcome. conflict tells that the record is at version at: a write
// of this leader's without an answer got through after all.
func (b *Overrides) WriteDone(w Write, rev uint64, ok, conflict bool, at uint64) {
	e := b.of[w.Team]
	if e.sending != w.gen {
		return
	}
	e.sending = 0
	switch {
	case ok && w.Value == nil:
		e.version, e.stored, e.acts = 0, w.gen, w.change
	case ok:
		e.version, e.stored, e.acts = rev, w.gen, w.change
	case conflict:
		e.version = at
	}
}
