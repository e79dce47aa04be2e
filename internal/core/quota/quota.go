// Package quota holds operators' overrides of teams' limits and guarantees. They are made while the
// service runs, may expire at a time of day, and are stored, so that any later leader applies them. It
// is a state machine of the leader, without input or output.
//
// A change takes effect once it is certainly stored: before that, a later leader would not know of
// it. A limit can't be raised above the platform's limit, on which users rely.
package quota

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/segmentio/encoding/json"

	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/model"
	"honeylock/internal/exactjson"
)

// recordVersion is the version of stored records. Records of newer versions are not changed.
const recordVersion = 1

// Change overrides a team's settings. Amounts are in thousandths; nil: the platform's value.
type Change struct {
	LimitCPU     *int64 `json:"limit_cpu,omitempty"`
	LimitGPU     *int64 `json:"limit_gpu,omitempty"`
	GuaranteeCPU *int64 `json:"guarantee_cpu,omitempty"`
	GuaranteeGPU *int64 `json:"guarantee_gpu,omitempty"`
	UntilMS      int64  `json:"until_ms,omitempty"` // time of day when it expires; 0: never
	By           string `json:"by"`
	AtMS         int64  `json:"at_ms"`
}

// empty reports whether the change overrides nothing.
func (c *Change) empty() bool {
	return c.LimitCPU == nil && c.LimitGPU == nil && c.GuaranteeCPU == nil && c.GuaranteeGPU == nil
}

// expired reports whether the time until which the change holds has passed.
func (c *Change) expired(wall time.Time) bool { return c.UntilMS > 0 && wall.UnixMilli() >= c.UntilMS }

// applyTo returns the team with the change applied.
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

// record is the stored form of a Change.
type record struct {
	V int `json:"v"`
	Change
}

// entry is the state of one team's override. Each change of requested gets a new generation.
type entry struct {
	requested, active Change // as last set, and as last stored
	version           uint64 // of the stored record, 0: none
	generation        uint64
	storedGeneration  uint64
	sendingGeneration uint64
	readOnlyReason    string // why this release must not change the record, "" if it may
}

// Overrides is the state machine of all teams.
type Overrides struct {
	platform []dispatcher.Team
	byTeam   map[model.Name]*entry
}

// New returns Overrides without changes to the platform's teams, which are indexed by name.
func New(platform []dispatcher.Team) *Overrides {
	return &Overrides{platform: platform, byTeam: map[model.Name]*entry{}}
}

// ensureEntry returns the state of a team's override, which it creates if necessary.
func (o *Overrides) ensureEntry(team model.Name) *entry {
	e := o.byTeam[team]
	if e == nil {
		e = &entry{}
		o.byTeam[team] = e
	}
	return e
}

// Load takes a record from the store.
func (o *Overrides) Load(team model.Name, value []byte, version uint64) {
	e := o.ensureEntry(team)
	e.version = version
	var r record
	switch err := exactjson.Unmarshal(value, &r); {
	case err != nil:
		e.readOnlyReason = "its record is unreadable: " + err.Error()
	case r.V != recordVersion:
		e.readOnlyReason = fmt.Sprintf("a newer release wrote it (version %d)", r.V)
	default:
		e.requested, e.active = r.Change, r.Change
	}
}

// RefusedError is why a change can't be made.
type RefusedError struct{ Reason string }

// Error returns the reason.
func (r *RefusedError) Error() string { return r.Reason }

// refuse returns a RefusedError.
func refuse(format string, args ...any) error { return &RefusedError{fmt.Sprintf(format, args...)} }

// Set requests a change of a team. Amounts that it leaves out keep earlier overrides.
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
	for _, amounts := range []struct {
		resource                        string
		platformLimit, limit, guarantee int64
	}{{"cpus", platform.Limit.CPU, changed.Limit.CPU, changed.Guarantee.CPU},
		{"gpus", platform.Limit.GPU, changed.Limit.GPU, changed.Guarantee.GPU}} {
		if amounts.platformLimit > 0 && amounts.limit > amounts.platformLimit {
			return refuse("limit_%s: %g is above the platform's limit of %g", amounts.resource, amount(amounts.limit),
				amount(amounts.platformLimit))
		}
		if amounts.limit > 0 && amounts.guarantee > amounts.limit {
			return refuse("guarantee_%s: %g is above the limit of %g", amounts.resource, amount(amounts.guarantee),
				amount(amounts.limit))
		}
	}
	if next.expired(wall) {
		return refuse("until: %s is over", time.UnixMilli(next.UntilMS).UTC().Format(time.RFC3339))
	}
	e.requested = next
	e.generation++
	return nil
}

// amount converts thousandths for messages.
func amount(n int64) float64 { return float64(n) / 1000 }

// Unset removes a team's override.
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

// Expire removes the overrides whose time has passed.
func (o *Overrides) Expire(wall time.Time) {
	for _, e := range o.byTeam {
		if e.readOnlyReason == "" && !e.requested.empty() && e.requested.expired(wall) {
			e.requested = Change{}
			e.generation++
		}
	}
}

// Team returns a team's present limit and guarantee.
func (o *Overrides) Team(team model.Name, wall time.Time) dispatcher.Team {
	if e := o.byTeam[team]; e != nil && !e.active.expired(wall) {
		return e.active.applyTo(o.platform[team])
	}
	return o.platform[team]
}

// Active returns the override in effect for a team, and whether there is one.
func (o *Overrides) Active(team model.Name, wall time.Time) (Change, bool) {
	e := o.byTeam[team]
	if e == nil || e.active.empty() || e.active.expired(wall) {
		return Change{}, false
	}
	return e.active, true
}

// Synced reports whether all requested changes of a team are certainly stored.
func (o *Overrides) Synced(team model.Name) bool {
	e := o.byTeam[team]
	return e == nil || e.storedGeneration == e.generation
}

// HasPendingWrites reports whether a change has still to be stored.
func (o *Overrides) HasPendingWrites() bool {
	for _, e := range o.byTeam {
		if e.readOnlyReason == "" && e.storedGeneration != e.generation {
			return true
		}
	}
	return false
}

// Write is a change to be written to the state service. Its outcome comes back through WriteDone.
type Write struct {
	Team       model.Name
	Version    uint64 // version of the record that it replaces; 0: there is none
	Value      []byte // nil: the record is deleted
	generation uint64
	change     Change
}

// Writes returns at most n changes to be stored, and marks them as in progress.
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

// WriteDone takes the outcome of a write. conflict reports that the record has currentVersion instead
// of the expected one: an earlier write of this leader that got no answer was executed after all.
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
