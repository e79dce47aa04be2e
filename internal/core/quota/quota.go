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

// expired tells whether the time that a change was made for has come.
func (c *Change) expired(wall time.Time) bool { return c.UntilMS > 0 && wall.UnixMilli() >= c.UntilMS }

// applyTo is a team with the change made.
func (c *Change) applyTo(t dispatcher.Team) dispatcher.Team {
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
	requested, active Change
	version           uint64 // of the stored record, 0: none
	generation        uint64
	storedGeneration  uint64
	sendingGeneration uint64
	readOnlyReason    string // why this release does not touch the record
}

// Overrides is the state machine.
type Overrides struct {
	platform []dispatcher.Team
	byTeam   map[model.Name]*entry
}

// New returns a book without changes to the platform's teams.
func New(platform []dispatcher.Team) *Overrides {
	return &Overrides{platform: platform, byTeam: map[model.Name]*entry{}}
}

func (o *Overrides) ensureEntry(team model.Name) *entry {
	e := o.byTeam[team]
	if e == nil {
		e = &entry{}
		o.byTeam[team] = e
	}
	return e
}

// Load takes a stored change.
func (o *Overrides) Load(team model.Name, value []byte, version uint64) {
	e := o.ensureEntry(team)
	e.version = version
	var r record
	switch err := json.Unmarshal(value, &r); {
	case err != nil:
		e.readOnlyReason = "its record is unreadable: " + err.Error()
	case r.V != recordVersion:
		e.readOnlyReason = fmt.Sprintf("a newer release wrote it (version %d)", r.V)
	default:
		e.requested, e.active = r.Change, r.Change
	}
}

// RefusedError says why a change can't be made.
type RefusedError struct{ Reason string }

func (r *RefusedError) Error() string { return r.Reason }

func refuse(format string, args ...any) error { return &RefusedError{fmt.Sprintf(format, args...)} }

// Set changes a team; what c leaves out stays as it was changed before.
func (o *Overrides) Set(wall time.Time, team model.Name, change Change) error {
	e := o.ensureEntry(team)
	if e.readOnlyReason != "" {
		return refuse("the team can't be changed here: %s", e.readOnlyReason)
	}
	next := e.requested
	for _, f := range []struct{ to, v **int64 }{{&next.LimitCPU, &change.LimitCPU}, {&next.LimitGPU, &change.LimitGPU},
		{&next.GuaranteeCPU, &change.GuaranteeCPU}, {&next.GuaranteeGPU, &change.GuaranteeGPU}} {
		if *f.v != nil {
			*f.to = *f.v
		}
	}
	next.UntilMS, next.By, next.AtMS = change.UntilMS, change.By, wall.UnixMilli()
	platform, changed := o.platform[team], next.applyTo(o.platform[team])
	for _, x := range []struct {
		what             string
		base, limit, has int64
	}{{"cpus", platform.Limit.CPU, changed.Limit.CPU, changed.Guarantee.CPU},
		{"gpus", platform.Limit.GPU, changed.Limit.GPU, changed.Guarantee.GPU}} {
		if x.base > 0 && x.limit > x.base {
			return refuse("limit_%s: %g is above the platform's limit of %g", x.what, amount(x.limit), amount(x.base))
		}
		if x.limit > 0 && x.has > x.limit {
			return refuse("guarantee_%s: %g is above the limit of %g", x.what, amount(x.has), amount(x.limit))
		}
	}
	if next.expired(wall) {
		return refuse("until: %s is over", time.UnixMilli(next.UntilMS).UTC().Format(time.RFC3339))
	}
	e.requested = next
	e.generation++
	return nil
}

func amount(n int64) float64 { return float64(n) / 1000 }

// Unset takes a team's changes back.
func (o *Overrides) Unset(team model.Name) error {
	e := o.byTeam[team]
	if e != nil && e.readOnlyReason != "" {
		return refuse("the team can't be changed here: %s", e.readOnlyReason)
	}
	if e == nil || e.requested.empty() {
		return nil
	}
	e.requested = Change{}
	e.generation++
	return nil
}

// Expire takes changes back whose time is over.
func (o *Overrides) Expire(wall time.Time) {
	for _, e := range o.byTeam {
		if e.readOnlyReason == "" && !e.requested.empty() && e.requested.expired(wall) {
			e.requested = Change{}
			e.generation++
		}
	}
}

// Team is a team's limit and guarantee now.
func (o *Overrides) Team(team model.Name, wall time.Time) dispatcher.Team {
	if e := o.byTeam[team]; e != nil && !e.active.expired(wall) {
		return e.active.applyTo(o.platform[team])
	}
	return o.platform[team]
}

// Active is the change that acts on a team, and whether there is one.
func (o *Overrides) Active(team model.Name, wall time.Time) (Change, bool) {
	e := o.byTeam[team]
	if e == nil || e.active.empty() || e.active.expired(wall) {
		return Change{}, false
	}
	return e.active, true
}

// Synced tells whether all that was changed about a team is surely stored.
func (o *Overrides) Synced(team model.Name) bool {
	e := o.byTeam[team]
	return e == nil || e.storedGeneration == e.generation
}

// HasPendingWrites tells whether anything is to be stored.
func (o *Overrides) HasPendingWrites() bool {
	for _, e := range o.byTeam {
		if e.readOnlyReason == "" && e.storedGeneration != e.generation {
			return true
		}
	}
	return false
}

// Write is a change for the state service. It comes back through Wrote.
type Write struct {
	Team       model.Name
	Version    uint64 // of the record that it replaces, 0: none
	Value      []byte // nil: the record goes
	generation uint64
	change     Change
}

// Writes returns at most n records to be stored.
func (o *Overrides) Writes(n int) []Write {
	var out []Write
	for team, e := range o.byTeam {
		if e.readOnlyReason != "" || e.sendingGeneration != 0 || e.storedGeneration == e.generation {
			continue
		}
		w := Write{Team: team, Version: e.version, generation: e.generation, change: e.requested}
		if !e.requested.empty() {
			v, err := json.Marshal(record{recordVersion, e.requested})
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
		o.byTeam[w.Team].sendingGeneration = w.generation
	}
	return out
}

// WriteDone takes a write's outcome. conflict tells that the record is at version at: a write
// of this leader's without an answer got through after all.
func (o *Overrides) WriteDone(w Write, newVersion uint64, ok, conflict bool, currentVersion uint64) {
	e := o.byTeam[w.Team]
	if e.sendingGeneration != w.generation {
		return
	}
	e.sendingGeneration = 0
	switch {
	case ok && w.Value == nil:
		e.version, e.storedGeneration, e.active = 0, w.generation, w.change
	case ok:
		e.version, e.storedGeneration, e.active = newVersion, w.generation, w.change
	case conflict:
		e.version = currentVersion
	}
}
