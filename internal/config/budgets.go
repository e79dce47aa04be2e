package config

import (
	"errors"
	"fmt"
	"math"
	"time"

	"honeylock/internal/config/settingspb"
)

// Budget of disruption of a team's work, or of one class of it; a zero amount bounds
// nothing.
type Budget struct {
	Team, Class string // Class "": all
	Tasks       int
	Share       float64
	CPUs        float64
	LostCPUS    float64 // CPU seconds
	Window      time.Duration
	Moves       int
	LastPart    float64
}

const (
	mostBudgets = 256
	lossWindow  = 600 // seconds
)

// budgets checks the budgets of disruption and reports every mistake with its field.
func budgets(p *settingspb.Disruption) ([]Budget, error) {
	var errs []error
	if n := len(p.GetBudgets()); n > mostBudgets {
		errs = append(errs, fmt.Errorf("disruption.budgets: %d given, at most %d", n, mostBudgets))
	}
	out := make([]Budget, 0, len(p.GetBudgets()))
	seen := map[[2]string]bool{}
	for i, b := range p.GetBudgets() {
		field := func(f string) string { return fmt.Sprintf("disruption.budgets[%d].%s", i, f) }
		num := func(name string, v *float64, lo, hi float64) float64 {
			if v == nil {
				return 0
			}
			if !(*v >= lo && *v <= hi) {
				from := fmt.Sprint("from ", lo)
				if lo == math.SmallestNonzeroFloat64 {
					from = "above 0"
				}
				errs = append(errs, fmt.Errorf("%s = %v: must be %s to %v", field(name), *v, from, hi))
			}
			return *v
		}
		whole := func(name string, v *int32, hi float64) int {
			if v == nil {
				return 0
			}
			f := float64(*v)
			return int(num(name, &f, 1, hi))
		}
		const above = math.SmallestNonzeroFloat64
		x := Budget{Team: b.GetTeam(), Class: b.GetClass(), Tasks: whole("tasks", b.Tasks, 1e6),
			Share: num("share", b.Share, above, 1),
			CPUs:  num("cpus", b.Cpus, above, 1e6), LostCPUS: num("lost_cpu_s", b.LostCpuS, above, 1e9),
			Window: Seconds(num("window_s", b.WindowS, 1, 86400)), Moves: whole("moves", b.Moves, 1000),
			LastPart: num("last_part", b.LastPart, above, 1)}
		if x.Team == "" {
			errs = append(errs, fmt.Errorf("%s: must be given", field("team")))
		}
		if key := [2]string{x.Team, x.Class}; seen[key] {
			errs = append(errs, fmt.Errorf("%s: team %q and class %q have a budget already", field("team"), x.Team, x.Class))
		} else {
			seen[key] = true
		}
		if b.WindowS != nil && b.LostCpuS == nil {
			errs = append(errs, fmt.Errorf("%s: lost_cpu_s is missing", field("window_s")))
		}
		if b.WindowS == nil {
			x.Window = Seconds(lossWindow)
		}
		if x.Tasks == 0 && x.Share == 0 && x.CPUs == 0 && x.LostCPUS == 0 && x.Moves == 0 && x.LastPart == 0 {
			errs = append(errs, fmt.Errorf("disruption.budgets[%d]: bounds nothing", i))
		}
		out = append(out, x)
	}
	return out, errors.Join(errs...)
}

// Suits tells what in the operator's settings the platform's file knows nothing of.
func (s *Settings) Suits(p *Platform) error {
	teams := map[string]bool{}
	for _, t := range p.Cluster.Teams {
		teams[t.Name] = true
	}
	var errs []error
	for i, b := range s.Budgets {
		if !teams[b.Team] {
			errs = append(errs, fmt.Errorf("disruption.budgets[%d].team: the platform's file has no team %q", i, b.Team))
		}
	}
	return errors.Join(errs...)
}
