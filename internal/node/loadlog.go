package node

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"honeylock/internal/core/model"
	"honeylock/internal/core/starvation"
)

// loadEvery is how often the leader's log tells what is open and what there is
// for it.
const loadEvery = 15 * time.Second

// classLoad sums up the open jobs of a class.
type classLoad struct{ jobs, ending, open, held, running int }

// logLoad tells the load at info: without it a day can't be understood
// afterwards.
func (p *dealing) logLoad() {
	if !p.l.n.log.Enabled(p.l.ctx, slog.LevelInfo) {
		return
	}
	classes := map[model.Name]*classLoad{}
	for _, need := range p.d.Demand() {
		c := classes[need.Spec.Class]
		if c == nil {
			c = &classLoad{}
			classes[need.Spec.Class] = c
		}
		c.jobs++
		if need.Unfinished == 0 { // its final is not stored yet
			c.ending++
		}
		c.open += int(need.Unfinished)
		c.held += int(need.Assigned)
		c.running += p.d.TaskCounts(need.Spec.ID).Running
	}
	var machines, ready, spot, faulty int
	var cpus, free int64
	for _, st := range p.d.MachineStatuses() {
		machines++
		if st.Machine.Spot {
			spot++
		}
		if st.Faulty {
			faulty++
		}
		if st.Ready {
			ready++
			cpus += st.Machine.Cap.CPU
			free += max(0, st.Avail.CPU)
		}
	}
	awaiting, unknown, doomed := p.l.chains.g.Counts()
	p.l.n.log.Info("load", "awaiting", awaiting, "unknown", unknown, "doomed", doomed,
		"machines", machines, "spot", spot, "ready", ready, "faulty", faulty, "unheard", p.d.UnverifiedCount(), "cpus", cpus/1000,
		"free", free/1000)
	for _, s := range starvation.Starved(p.d.Starvation(p.l.n.now())) {
		p.l.n.log.Warn("jobs wait for too long to begin", "of", p.l.n.groupName(s.Group), "begun", s.Begun, "late", s.Overdue,
			"longest", s.LongestWait)
	}
	for _, name := range slices.Sorted(maps.Keys(classes)) {
		c := classes[name]
		p.l.n.log.Info("load of a class", "class", p.l.n.names.Classes.Name(name), "jobs", c.jobs, "ending",
			c.ending, "open", c.open, "held", c.held, "running", c.running)
	}
}
