package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"honeylock/internal/core/disruption"
	"honeylock/internal/core/drain"
	"honeylock/internal/core/model"
)

// newBook makes the book of the settings' budgets; nil where there are none.
func (n *Node) newBook() *disruption.Tracker {
	if len(n.set.Budgets) == 0 {
		return nil
	}
	var bs []disruption.Budget
	for _, b := range n.set.Budgets {
		team, ok := n.names.Teams.Lookup(b.Team)
		if !ok {
			continue // the command has refused it
		}
		x := disruption.Budget{Team: team, Class: model.None, MaxTasks: b.Tasks, MaxShare: b.Share,
			MaxCPU: model.Capacity(b.CPUs, 0, 0).CPU, MaxLostCPU: b.LostCPUS, Window: b.Window, MaxMoves: b.Moves, LastFraction: b.LastPart}
		if b.Class != "" {
			x.Class = n.names.Classes.ID(b.Class)
		}
		bs = append(bs, x)
	}
	k := disruption.New(bs)
	k.TeamName = n.names.Teams.Name
	return k
}

// work is a team's, or one of its classes'.
type work struct{ team, class model.Name }

// disrupt brings the book up to date for a turn of the drains, and returns how they draw
// from it; nil where there are no budgets.
func (p *draining) disrupt(now time.Duration) func(drain.MoveRequest) string {
	if !p.book.Enabled() {
		return nil
	}
	l := p.l
	for _, t := range l.d.TakeFreedTasks() {
		if sp := l.d.Spec(t.Job); sp != nil { // nobody saw how long it had run
			p.book.TaskStopped(t, sp, disruption.Lost, sp.Estimate/2)
		}
	}
	p.book.Prune(func(id model.JobID) bool { return l.d.Spec(id) != nil })
	p.book.Recovered = l.d.Recovered()
	told := map[work]disruption.TeamState{}
	p.book.TeamState = func(team, class model.Name) disruption.TeamState {
		w := work{team, class}
		x, ok := told[w]
		if !ok {
			x.Running, x.Orphaned, x.Unknown, x.CPU = l.d.WorkCounts(team, class)
			told[w] = x
		}
		return x
	}
	return func(m drain.MoveRequest) string {
		cause := disruption.PlanDrain
		if m.ForPrice {
			cause = disruption.PriceDrain
		}
		return p.book.RequestMove(now, disruption.MoveRequest{Task: m.Task, Spec: m.Spec, Cause: cause, Ran: m.Ran, Remaining: m.Remaining})
	}
}

// BudgetStatus is how a budget of disruption stands, as operators see it.
type BudgetStatus struct {
	Team    string         `json:"team"`
	Class   string         `json:"class,omitempty"`
	Running int            `json:"running"`
	Out     int            `json:"out"`
	Most    int            `json:"most"` // tasks, -1: not bounded
	OutCPUs float64        `json:"out_cpus"`
	CPUs    float64        `json:"cpus,omitempty"` // bound, 0: none
	LostS   float64        `json:"lost_cpu_s"`
	Lost    float64        `json:"most_lost_cpu_s,omitempty"`
	By      map[string]int `json:"by"`
}

func (p *draining) budgets(now time.Duration) []BudgetStatus {
	out := []BudgetStatus{}
	if p.disrupt(now) == nil {
		return out
	}
	for _, s := range p.book.Status(now) {
		b := BudgetStatus{Team: p.l.n.names.Teams.Name(s.Team), Running: s.Running, Out: s.Tasks, Most: s.TaskLimit,
			OutCPUs: float64(s.CPU) / 1000, CPUs: float64(s.Budget.MaxCPU) / 1000, LostS: s.LostCPU, Lost: s.Budget.MaxLostCPU,
			By: map[string]int{}}
		if s.Class != model.None {
			b.Class = p.l.n.names.Classes.Name(s.Class)
		}
		for c, n := range s.ByCause {
			if n > 0 {
				b.By[disruption.Cause(c).Label()] = n
			}
		}
		out = append(out, b)
	}
	return out
}

// disruptionMetrics are the book's counts, on the leader.
type disruptionMetrics struct {
	n                     *Node
	drawn, refused, eaten *prometheus.Desc
}

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
	c <- m.drawn
	c <- m.refused
	c <- m.eaten
}

// Collect implements prometheus.Collector.
func (m *disruptionMetrics) Collect(c chan<- prometheus.Metric) {
	m.n.mu.Lock()
	defer m.n.mu.Unlock()
	if m.n.lead == nil || !m.n.lead.drains.book.Enabled() {
		return
	}
	for team, x := range m.n.lead.drains.book.Counts {
		name := m.n.names.Teams.Name(team)
		for _, s := range []struct {
			d *prometheus.Desc
			n [disruption.NumCauses]uint64
		}{{m.drawn, x.Granted}, {m.refused, x.Refused}, {m.eaten, x.Involuntary}} {
			for cause, v := range s.n {
				if v > 0 {
					c <- prometheus.MustNewConstMetric(s.d, prometheus.CounterValue, float64(v), name, disruption.Cause(cause).Label())
				}
			}
		}
	}
}
