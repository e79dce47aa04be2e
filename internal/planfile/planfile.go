// Package planfile reads operators' drain plans in protobuf text format. It checks them
// against the schema and reports every mistake with its field.
package planfile

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	// Windows name time zones, and controllers have no disk with time zone files.
	_ "time/tzdata"

	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"

	"honeylock/internal/core/drain"
	"honeylock/internal/core/model"
	"honeylock/internal/core/rollout"
	"honeylock/internal/planfile/planpb"
	"honeylock/internal/wire"
)

// MaxSource is the maximum size of a plan's text, in bytes.
const MaxSource = 4 << 10

const (
	maxAtOnce  = 1000
	maxFloor   = 10
	maxWindows = 16
	maxRules   = 32
	maxWaves   = 16
)

var planName = regexp.MustCompile(`^[a-z][a-z0-9-]{0,39}$`)

// Parse parses and checks a plan. It returns all of the plan's mistakes as one joined error.
func Parse(text []byte) (*planpb.Plan, error) {
	if len(text) > MaxSource {
		return nil, fmt.Errorf("the plan has %d bytes, the maximum is %d", len(text), MaxSource)
	}
	var p planpb.Plan
	if err := prototext.Unmarshal(text, &p); err != nil {
		return nil, err
	}
	return &p, check(&p)
}

type fieldErrors []error

func (e *fieldErrors) add(field, format string, args ...any) {
	*e = append(*e, fmt.Errorf(field+": "+format, args...))
}

func check(p *planpb.Plan) error {
	var errs fieldErrors
	if !planName.MatchString(p.GetName()) {
		errs.add("name", "%q must be 1 to 40 of a-z, 0-9 and -, beginning with a letter", p.GetName())
	}
	checkMachines(&errs, p.GetMachines())
	for _, f := range []struct {
		name string
		v    *int32
	}{{"at_once", p.AtOnce}, {"at_once_per_zone", p.AtOncePerZone}} {
		if f.v != nil && (*f.v < 1 || *f.v > maxAtOnce) {
			errs.add(f.name, "%d must be from 1 to %d", *f.v, maxAtOnce)
		}
	}
	checkEnum(&errs, "order", int32(p.GetOrder()), planpb.Order_name)
	checkEnum(&errs, "running", int32(p.GetRunning()), planpb.How_name)
	checkEnum(&errs, "after", int32(p.GetAfter()), planpb.After_name)
	if !(p.GetFloor() >= 0 && p.GetFloor() <= maxFloor) {
		errs.add("floor", "%v must be from 0 to %d", p.GetFloor(), maxFloor)
	}
	if p.PatchS != nil && !(p.GetPatchS() >= 0 && p.GetPatchS() <= 1e6) {
		errs.add("patch_s", "%v must be from 0 to 1000000", p.GetPatchS())
	}
	if p.GetLatestEnd() != "" {
		if _, err := time.Parse(time.RFC3339, p.GetLatestEnd()); err != nil {
			errs.add("latest_end", "%q must be a time such as 2026-12-31T18:00:00+04:00", p.GetLatestEnd())
		}
	}
	checkRules(&errs, p.GetRules())
	checkWindows(&errs, p.GetWindows())
	checkWaves(&errs, p)
	return errors.Join(errs...)
}

func checkWaves(errs *fieldErrors, p *planpb.Plan) {
	if n := len(p.GetWaves()); n > maxWaves {
		errs.add("waves", "%d given, the maximum is %d", n, maxWaves)
	}
	last := 0.0
	for i, w := range p.GetWaves() {
		f := fmt.Sprintf("waves[%d]", i)
		if (w.Machines == nil) == (w.Share == nil) {
			errs.add(f, "give either machines or share")
		}
		if w.Machines != nil && (w.GetMachines() < 1 || w.GetMachines() > 100_000) {
			errs.add(f+".machines", "%d must be from 1 to 100000", w.GetMachines())
		}
		if w.Share != nil && !(w.GetShare() > last && w.GetShare() <= 1) {
			errs.add(f+".share", "%v must be above %v, the share of the waves before it, and at most 1", w.GetShare(), last)
		}
		last = max(last, w.GetShare())
		if !(w.GetSoakS() >= 0 && w.GetSoakS() <= 86400) {
			errs.add(f+".soak_s", "%v must be from 0 to 86400", w.GetSoakS())
		}
	}
	g := p.GetGate()
	if g == nil {
		return
	}
	if len(p.GetWaves()) == 0 {
		errs.add("gate", "there are no waves, which a gate needs")
	}
	if g.Tasks != nil && (g.GetTasks() < 1 || g.GetTasks() > 100_000) {
		errs.add("gate.tasks", "%d must be from 1 to 100000", g.GetTasks())
	}
	if g.Slower != nil && !(g.GetSlower() >= 1 && g.GetSlower() <= 100) {
		errs.add("gate.slower", "%v must be from 1 to 100", g.GetSlower())
	}
	if g.Errors != nil && !(g.GetErrors() >= 0 && g.GetErrors() <= 1) {
		errs.add("gate.errors", "%v must be from 0 to 1", g.GetErrors())
	}
}

// convertWaves adds a plan's waves and its gate to a drain.Spec.
func convertWaves(p *planpb.Plan, spec *drain.Spec) {
	for _, w := range p.GetWaves() {
		spec.Waves = append(spec.Waves, drain.Wave{Machines: int(w.GetMachines()), Share: w.GetShare(),
			Soak: wire.Duration(w.GetSoakS())})
	}
	g := p.GetGate()
	if g == nil {
		return
	}
	spec.Gate = &rollout.Gate{MinTasks: 20, MaxSlowdown: 1.25, MaxErrorIncrease: 0.05}
	if g.Tasks != nil {
		spec.Gate.MinTasks = int(g.GetTasks())
	}
	if g.Slower != nil {
		spec.Gate.MaxSlowdown = g.GetSlower()
	}
	if g.Errors != nil {
		spec.Gate.MaxErrorIncrease = g.GetErrors()
	}
}

func checkEnum(errs *fieldErrors, field string, v int32, names map[int32]string) {
	if _, ok := names[v]; !ok {
		errs.add(field, "%d is no known value", v)
	}
}

func checkMachines(errs *fieldErrors, selector *planpb.Machines) {
	hasCriteria := len(selector.GetNames())+len(selector.GetTypes())+len(selector.GetZones()) > 0 ||
		selector.GetKind() != planpb.Kind_ANY ||
		selector.GetOlderThanS() > 0
	switch {
	case !hasCriteria && !selector.GetAll():
		errs.add("machines", "say which: give names, types, zones, kind, older_than_s, or all: true")
	case hasCriteria && selector.GetAll():
		errs.add("machines.all", "must not be given together with other fields")
	}
	seen := map[string]bool{}
	for i, n := range selector.GetNames() {
		if _, err := wire.ParseMachine(n); err != nil {
			errs.add(fmt.Sprintf("machines.names[%d]", i), "%w", err)
		}
		if seen[n] {
			errs.add(fmt.Sprintf("machines.names[%d]", i), "%q is given twice", n)
		}
		seen[n] = true
	}
	checkEnum(errs, "machines.kind", int32(selector.GetKind()), planpb.Kind_name)
	if !(selector.GetOlderThanS() >= 0 && selector.GetOlderThanS() <= 1e9) {
		errs.add("machines.older_than_s", "%v must not be negative", selector.GetOlderThanS())
	}
}

func checkRules(errs *fieldErrors, rules []*planpb.Rule) {
	if len(rules) > maxRules {
		errs.add("rules", "%d given, the maximum is %d", len(rules), maxRules)
	}
	for i, r := range rules {
		f := fmt.Sprintf("rules[%d]", i)
		if r.GetClass() == "" && r.GetRank() == "" {
			errs.add(f, "give a class, a rank or both")
		}
		if _, ok := wire.Rank(r.GetRank()); !ok && r.GetRank() != "" {
			errs.add(f+".rank", "%q must be idle, standard, urgent or prod", r.GetRank())
		}
		checkEnum(errs, f+".running", int32(r.GetRunning()), planpb.How_name)
	}
}

func checkWindows(errs *fieldErrors, windows []*planpb.Window) {
	if len(windows) > maxWindows {
		errs.add("windows", "%d given, the maximum is %d", len(windows), maxWindows)
	}
	for i, w := range windows {
		f := fmt.Sprintf("windows[%d]", i)
		if w.GetDeadline() == (w.GetNotPast() != "") {
			errs.add(f, "give either not_past or deadline: true")
		}
		if _, err := parseClock(w.GetNotPast()); err != nil && w.GetNotPast() != "" {
			errs.add(f+".not_past", "%q must be a time of day, HH:MM", w.GetNotPast())
		}
		if _, err := time.LoadLocation(w.GetTimeZone()); err != nil || w.GetTimeZone() == "Local" {
			errs.add(f+".time_zone", "%q must be a time zone such as Asia/Muscat", w.GetTimeZone())
		}
	}
}

// parseClock parses a time of day, HH:MM.
func parseClock(s string) (time.Duration, error) {
	h, min, ok := strings.Cut(s, ":")
	a, err1 := strconv.ParseUint(h, 10, 8)
	b, err2 := strconv.ParseUint(min, 10, 8)
	if !ok || err1 != nil || err2 != nil || len(h) != 2 || len(min) != 2 || a > 23 || b > 59 {
		return 0, fmt.Errorf("%q is not a time of day", s)
	}
	return time.Duration(a)*time.Hour + time.Duration(b)*time.Minute, nil
}

// Encode returns the stored form of a plan.
func Encode(p *planpb.Plan) ([]byte, error) { return proto.Marshal(p) }

// Decode reads the stored form of a plan.
func Decode(b []byte) (*planpb.Plan, error) {
	var p planpb.Plan
	if err := proto.Unmarshal(b, &p); err != nil {
		return nil, fmt.Errorf("stored plan: %w", err)
	}
	return &p, check(&p)
}

// Text returns a plan in protobuf text format.
func Text(p *planpb.Plan) string { return prototext.MarshalOptions{Multiline: true}.Format(p) }

// Spec converts a plan to a drain.Spec, without its machines.
func Spec(p *planpb.Plan, n *wire.Names) *drain.Spec {
	spec := &drain.Spec{Name: p.GetName(), MaxConcurrent: 1, MaxPerZone: int(p.GetAtOncePerZone()),
		FreeCapacityFloor: p.GetFloor(), RentFirst: p.GetRentFirst(),
		Default: drain.LeaveMode(p.GetRunning()), WhenEmpty: drain.WhenEmpty(p.GetAfter())}
	if p.AtOnce != nil {
		spec.MaxConcurrent = int(*p.AtOnce)
	}
	if t, err := time.Parse(time.RFC3339, p.GetLatestEnd()); err == nil {
		spec.LatestEnd = t
	}
	for _, r := range p.GetRules() {
		rule := drain.Rule{Class: model.None, Rank: -1, LeaveMode: drain.LeaveMode(r.GetRunning())}
		if r.GetClass() != "" {
			rule.Class = n.Classes.ID(r.GetClass())
		}
		if rank, ok := wire.Rank(r.GetRank()); ok {
			rule.Rank = int(rank)
		}
		spec.Rules = append(spec.Rules, rule)
	}
	for _, w := range p.GetWindows() {
		spec.Windows = append(spec.Windows, convertWindow(w, n))
	}
	convertWaves(p, spec)
	return spec
}

func convertWindow(w *planpb.Window, n *wire.Names) drain.Window {
	window := drain.Window{Deadline: w.GetDeadline(), Location: time.UTC, Name: "its deadline"}
	for _, c := range w.GetClasses() {
		window.Classes = append(window.Classes, n.Classes.ID(c))
	}
	if !window.Deadline {
		window.Clock, _ = parseClock(w.GetNotPast()) // the plan was checked, so neither can fail
		window.Location, _ = time.LoadLocation(w.GetTimeZone())
		window.Name = "the window"
	}
	return window
}
