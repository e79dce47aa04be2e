package config

import (
	"errors"
	"fmt"
	"math"
	"time"

	"honeylock/internal/config/settingspb"
)

// Budget is the disruption budget of a team, or of one job class of a team. A zero amount
// sets no limit.
type Budget struct {
	Team, Class  string // Class "": all classes
	Tasks        int
	Share        float64
	CPUs         float64
	LostCPUS     float64 // CPU seconds
	Window       time.Duration
	Moves        int
	LastFraction float64
}

const (
	maxBudgets         = 256
	defaultLossWindowS = 600
)

// parseBudgets converts the disruption budgets and reports every mistake with its field.
func parseBudgets(p *settingspb.Disruption) ([]Budget, error) {
	var errs []error
	if n := len(p.GetBudgets()); n > maxBudgets {
		errs = append(errs, fmt.Errorf("disruption.budgets: %d given, at most %d", n, maxBudgets))
	}
	out := make([]Budget, 0, len(p.GetBudgets()))
	seen := map[[2]string]bool{}
	for i, b := range p.GetBudgets() {
		field := func(f string) string { return fmt.Sprintf("disruption.budgets[%d].%s", i, f) }
		number := func(name string, v *float64, lo, hi float64) float64 {
			if v == nil {
				return 0
			}
			if !(*v >= lo && *v <= hi) {
				lowerBound := fmt.Sprint("from ", lo)
				if lo == math.SmallestNonzeroFloat64 {
					lowerBound = "above 0"
				}
				errs = append(errs, fmt.Errorf("%s = %v: must be %s to %v", field(name), *v, lowerBound, hi))
			}
			return *v
		}
		integer := func(name string, v *int32, hi float64) int {
			if v == nil {
				return 0
			}
			f := float64(*v)
			return int(number(name, &f, 1, hi))
		}
		const smallestPositive = math.SmallestNonzeroFloat64
		budget := Budget{Team: b.GetTeam(), Class: b.GetClass(), Tasks: integer("tasks", b.Tasks, 1e6),
			Share:    number("share", b.Share, smallestPositive, 1),
			CPUs:     number("cpus", b.Cpus, smallestPositive, 1e6),
			LostCPUS: number("lost_cpu_s", b.LostCpuS, smallestPositive, 1e9),
			Window:   Seconds(number("window_s", b.WindowS, 1, 86400)), Moves: integer("moves", b.Moves, 1000),
			LastFraction: number("last_part", b.LastPart, smallestPositive, 1)}
		if budget.Team == "" {
			errs = append(errs, fmt.Errorf("%s: must be given", field("team")))
		}
		if key := [2]string{budget.Team, budget.Class}; seen[key] {
			errs = append(errs, fmt.Errorf("%s: team %q and class %q already have a budget", field("team"), budget.Team,
				budget.Class))
		} else {
			seen[key] = true
		}
		if b.WindowS != nil && b.LostCpuS == nil {
			errs = append(errs, fmt.Errorf("%s: needs lost_cpu_s, which is missing", field("window_s")))
		}
		if b.WindowS == nil {
			budget.Window = Seconds(defaultLossWindowS)
		}
		if budget.Tasks == 0 && budget.Share == 0 && budget.CPUs == 0 && budget.LostCPUS == 0 && budget.Moves == 0 &&
			budget.LastFraction == 0 {
			errs = append(errs, fmt.Errorf("disruption.budgets[%d]: sets no limit", i))
		}
		out = append(out, budget)
	}
	return out, errors.Join(errs...)
}

// CheckPlatform returns the mistakes in the operator's settings that show only together
// with the platform's settings: budgets of unknown teams.
func (s *Settings) CheckPlatform(p *Platform) error {
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
