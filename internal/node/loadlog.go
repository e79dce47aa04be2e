package node

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"honeylock/internal/core/model"
	"honeylock/internal/core/starvation"
)

// loadLogInterval is how often the leader logs the open jobs and the machines that there are for them.
const loadLogInterval = 15 * time.Second

// classLoad sums up the open jobs of one class: numbers of jobs, then of tasks.
type classLoad struct{ jobs, ending, unfinished, assigned, running int }

// logLoad logs the load at info level, so that operators can later see how jobs and machines developed.
func (dl *dispatchLoop) logLoad() {
	if !dl.lead.node.log.Enabled(dl.lead.ctx, slog.LevelInfo) {
		return
	}
	classes := map[model.Name]*classLoad{}
	for _, demand := range dl.dispatcher.Demand() {
		c := classes[demand.Spec.Class]
		if c == nil {
			c = &classLoad{}
			classes[demand.Spec.Class] = c
		}
		c.jobs++
		if demand.Unfinished == 0 { // its final record is not stored yet
			c.ending++
		}
		c.unfinished += int(demand.Unfinished)
		c.assigned += int(demand.Assigned)
		c.running += dl.dispatcher.TaskCounts(demand.Spec.ID).Running
	}
	var machines, ready, spot, faulty int
	var cpus, free int64
	for _, status := range dl.dispatcher.MachineStatuses() {
		machines++
		if status.Machine.Spot {
			spot++
		}
		if status.Faulty {
			faulty++
		}
		if status.Ready {
			ready++
			cpus += status.Machine.Cap.CPU
			free += max(0, status.Avail.CPU)
		}
	}
	awaiting, unknown, cancelPending := dl.lead.dependencies.graph.Counts()
	dl.lead.node.log.Info("load", "awaiting", awaiting, "unknown", unknown, "doomed", cancelPending,
		"machines", machines, "spot", spot, "ready", ready, "faulty", faulty, "unheard", dl.dispatcher.UnverifiedCount(),
		"cpus", cpus/1000, "free", free/1000)
	for _, group := range starvation.Starved(dl.dispatcher.Starvation(dl.lead.node.now())) {
		dl.lead.node.log.Warn("jobs have waited too long to begin", "of", dl.lead.node.groupName(group.Group),
			"begun", group.Started, "late", group.Overdue, "longest", group.LongestWait)
	}
	for _, name := range slices.Sorted(maps.Keys(classes)) {
		c := classes[name]
		dl.lead.node.log.Info("load of a class", "class", dl.lead.node.names.Classes.Name(name), "jobs", c.jobs, "ending",
			c.ending, "open", c.unfinished, "held", c.assigned, "running", c.running)
	}
}
