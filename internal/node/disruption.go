package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"honeylock/internal/core/disruption"
	"honeylock/internal/core/drain"
	"honeylock/internal/core/model"
)

// newDisruptionTracker returns a tracker of the disruption budgets in the settings, nil if there are
// none.
func (n *Node) newDisruptionTracker() *disruption.Tracker {
	if len(n.settings.Budgets) == 0 {
		return nil
	}
	var budgets []disruption.Budget
	for _, setting := range n.settings.Budgets {
		team, ok := n.names.Teams.Lookup(setting.Team)
		if !ok {
			continue // can't happen: such settings are refused at the start
		}
		budget := disruption.Budget{Team: team, Class: model.None, MaxTasks: setting.Tasks, MaxShare: setting.Share,
			MaxCPU: model.Capacity(setting.CPUs, 0, 0).CPU, MaxLostCPU: setting.LostCPUS, Window: setting.Window,
			MaxMoves:     setting.Moves,
			LastFraction: setting.LastFraction}
		if setting.Class != "" {
			budget.Class = n.names.Classes.ID(setting.Class)
		}
		budgets = append(budgets, budget)
	}
	tracker := disruption.New(budgets)
	tracker.TeamName = n.names.Teams.Name
	return tracker
}

// teamClass identifies a team's work, or that of one class of the team.
type teamClass struct{ team, class model.Name }

// updateDisruptions brings the tracker up to date with the dispatcher before the drains advance. It
// returns the function with which the drains request to move a task, nil if there are no budgets. That
// function returns the reason if a budget refuses the move, else "".
func (dm *drainManager) updateDisruptions(now time.Duration) func(drain.MoveRequest) string {
	if !dm.disruptions.Enabled() {
		return nil
	}
	l := dm.lead
	for _, t := range l.dispatcher.TakeFreedTasks() {
		if spec := l.dispatcher.Spec(t.Job); spec != nil { // its run time is not known: half of the estimate is assumed
			dm.disruptions.TaskStopped(t, spec, disruption.Lost, spec.Estimate/2)
		}
	}
	dm.disruptions.Prune(func(id model.JobID) bool { return l.dispatcher.Spec(id) != nil })
	dm.disruptions.Recovered = l.dispatcher.Recovered()
	teamStates := map[teamClass]disruption.TeamState{}
	dm.disruptions.TeamState = func(team, class model.Name) disruption.TeamState {
		key := teamClass{team, class}
		state, ok := teamStates[key]
		if !ok {
			state.Running, state.Orphaned, state.Unknown, state.CPU = l.dispatcher.WorkCounts(team, class)
			teamStates[key] = state
		}
		return state
	}
	return func(request drain.MoveRequest) string {
		cause := disruption.PlanDrain
		if request.ForPrice {
			cause = disruption.PriceDrain
		}
		return dm.disruptions.RequestMove(now, disruption.MoveRequest{Task: request.Task, Spec: request.Spec, Cause: cause,
			RunTime:   request.RunTime,
			Remaining: request.Remaining})
	}
}

// BudgetStatus is the use of a disruption budget as operators see it.
type BudgetStatus struct {
	Team               string         `json:"team"`
	Class              string         `json:"class,omitempty"`
	Running            int            `json:"running"`
	Interrupted        int            `json:"out"`  // tasks
	MaxTasks           int            `json:"most"` // limit of Interrupted; -1: none
	InterruptedCPUs    float64        `json:"out_cpus"`
	MaxCPUs            float64        `json:"cpus,omitempty"`            // limit of InterruptedCPUs; 0: none
	LostCPUS           float64        `json:"lost_cpu_s"`                // CPU seconds lost in the budget's window
	MaxLostCPUS        float64        `json:"most_lost_cpu_s,omitempty"` // limit of LostCPUS; 0: none
	InterruptedByCause map[string]int `json:"by"`                        // interrupted tasks by cause
}

// budgetStatuses returns the use of all disruption budgets.
func (dm *drainManager) budgetStatuses(now time.Duration) []BudgetStatus {
	out := []BudgetStatus{}
	if dm.updateDisruptions(now) == nil {
		return out
	}
	for _, s := range dm.disruptions.Status(now) {
		b := BudgetStatus{Team: dm.lead.node.names.Teams.Name(s.Team), Running: s.Running, Interrupted: s.Tasks,
			MaxTasks:        s.TaskLimit,
			InterruptedCPUs: float64(s.CPU) / 1000, MaxCPUs: float64(s.Budget.MaxCPU) / 1000, LostCPUS: s.LostCPU,
			MaxLostCPUS:        s.Budget.MaxLostCPU,
			InterruptedByCause: map[string]int{}}
		if s.Class != model.None {
			b.Class = dm.lead.node.names.Classes.Name(s.Class)
		}
		for c, n := range s.ByCause {
			if n > 0 {
				b.InterruptedByCause[disruption.Cause(c).Label()] = n
			}
		}
		out = append(out, b)
	}
	return out
}

// disruptionMetrics exports the disruption tracker's counts on the leader.
type disruptionMetrics struct {
	node                          *Node
	granted, refused, involuntary *prometheus.Desc
}

// newDisruptionMetrics returns the collector of the node's disruption counts.
func newDisruptionMetrics(n *Node) *disruptionMetrics {
	desc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc("honeylock_disruption_"+name+"_total", help+" by this leader, by team and cause.",
			[]string{"team", "cause"}, nil)
	}
	return &disruptionMetrics{n, desc("drawn", "Running tasks moved"), desc("refused", "Moves of running tasks refused"),
		desc("eaten", "Running tasks seen out of work for other reasons")}
}

// Describe implements prometheus.Collector.
func (m *disruptionMetrics) Describe(c chan<- *prometheus.Desc) {
	c <- m.granted
	c <- m.refused
	c <- m.involuntary
}

// Collect implements prometheus.Collector.
func (m *disruptionMetrics) Collect(c chan<- prometheus.Metric) {
	m.node.mu.Lock()
	defer m.node.mu.Unlock()
	if m.node.lead == nil || !m.node.lead.drains.disruptions.Enabled() {
		return
	}
	for team, counts := range m.node.lead.drains.disruptions.Counts {
		name := m.node.names.Teams.Name(team)
		for _, s := range []struct {
			d *prometheus.Desc
			n [disruption.NumCauses]uint64
		}{{m.granted, counts.Granted}, {m.refused, counts.Refused}, {m.involuntary, counts.Involuntary}} {
			for cause, v := range s.n {
				if v > 0 {
					c <- prometheus.MustNewConstMetric(s.d, prometheus.CounterValue, float64(v), name, disruption.Cause(cause).Label())
				}
			}
		}
	}
}
