package node

import (
	"context"
	"log/slog"
	"time"

	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/model"
	"honeylock/internal/wire"
)

// The decision log shows, by names of jobs and machines, why a task was allowed to start and why the
// leader concluded that it runs nowhere: which shard owned a machine under which token, what was charged
// to the task's team, and on which session of the worker the decision was based. Events that are rare in
// normal operation are logged at info level, the others at debug level.

// logEnabled reports whether a level is logged, so that callers can skip preparing a line that is not.
func (n *Node) logEnabled(level slog.Level) bool { return n.log.Enabled(context.Background(), level) }

// logCharges logs every change of the resources charged to a team, at debug level.
func (l *leadership) logCharges() {
	if !l.node.logEnabled(slog.LevelDebug) {
		return
	}
	l.dispatcher.OnCharge(func(change dispatcher.Charge) {
		l.node.log.Debug("charge", "task", wire.TaskName(change.Task), "reason", change.Reason.String(),
			"shard", change.Shard, "zone", l.node.zoneName(change.Zone),
			"used_cpu", change.Used.CPU, "limit_cpu", change.Limit.CPU, "term", l.term)
	})
}

// zoneName returns a zone's name, "any" for none.
func (n *Node) zoneName(zone model.Name) string {
	if zone == model.None {
		return "any"
	}
	return n.names.Zones.Name(zone)
}

// logEvent logs an event of a shard, before the event is handled.
func (l *leadership) logEvent(from model.ShardID, event *model.Event) {
	if l.dispatcher.IsStale(from, event) && l.node.logEnabled(slog.LevelDebug) {
		l.node.log.Debug("event about an ended ownership", "machine", wire.MachineName(event.Machine), "shard", from,
			"kind", event.Kind, "epoch", event.Epoch)
	}
	switch event.Kind {
	case model.LeaseExpiryConfirmed:
		if l.dispatcher.LeaseExpiryConfirmed(event.Machine) {
			return // a repeated event
		}
		l.node.log.Info("machine's lease expiry confirmed: its tasks are lost",
			"machine", wire.MachineName(event.Machine), "shard", from, "token", event.Token)
	case model.WorkerBack, model.WorkerFenced:
		if l.dispatcher.LeaseExpiryConfirmed(event.Machine) {
			l.node.log.Info("machine is back after its lease expired", "machine", wire.MachineName(event.Machine), "shard", from)
		}
	case model.AttemptFound:
		if l.node.logEnabled(slog.LevelDebug) {
			l.node.log.Debug("attempt found", "task", wire.TaskName(event.Task), "attempt", event.Attempt,
				"machine", wire.MachineName(event.Machine), "shard", from)
		}
	case model.MachineReleased, model.MachineKept:
		if l.node.logEnabled(slog.LevelDebug) {
			l.node.log.Debug("machine released or kept by its shard", "machine", wire.MachineName(event.Machine), "shard", from,
				"kept", event.Kind == model.MachineKept, "tasks", len(event.Tasks))
		}
	}
}

// logOrder logs an order to a shard.
func (l *leadership) logOrder(order *model.Order) {
	if order.Kind == model.KillAttempt {
		l.node.log.Info("unexpected attempt found: stopping it", "task", wire.TaskName(order.Task), "attempt", order.Attempt,
			"machine", wire.MachineName(order.ID), "shard", order.To)
		return
	}
	if !l.node.logEnabled(slog.LevelDebug) {
		return
	}
	switch order.Kind {
	case model.OwnMachine:
		l.node.log.Debug("machine assigned to shard", "machine", wire.MachineName(order.Machine.ID), "shard", order.To,
			"token", order.Token, "epoch", order.Epoch)
	case model.AssignTask:
		l.node.log.Debug("task assigned to shard", "task", wire.TaskName(order.Assignment.Task), "shard", order.To,
			"adopted", order.Assignment.Attempt)
	case model.ConfirmLeaseExpiry:
		l.node.log.Debug("shard asked to confirm lease expiry", "machine", wire.MachineName(order.ID), "shard", order.To)
	}
}

// logStarts logs the launch commands that are sent to a worker, with the worker's session.
func (n *Node) logStarts(machine model.MachineID, token, session uint64, commands []model.Command, direct bool) {
	if !n.logEnabled(slog.LevelDebug) {
		return
	}
	for _, command := range commands {
		if command.Verb == model.Launch {
			n.log.Debug("launch command sent", "task", wire.TaskName(command.Task), "attempt", command.Attempt,
				"machine", wire.MachineName(machine), "token", token, "session", session, "direct", direct)
		}
	}
}

// logRefused logs a report that was refused because its session's lease has expired.
func (n *Node) logRefused(report *model.Report) {
	n.log.Info("report refused: its session's lease has expired", "machine", wire.MachineName(report.Machine.ID),
		"session", report.Session, "number", report.Seq, "token", report.Token)
}

// logGrant logs when this controller's shard loses the right to act, and when it has it again.
func (n *Node) logGrant(now time.Duration, local *localShard) {
	granted := local.shard.HasGrant(now)
	if granted == local.loggedGrant {
		return
	}
	local.loggedGrant = granted
	if granted {
		n.log.Info("grant obtained: this controller's shard may act", "leader", n.leader)
	} else {
		n.log.Info("grant expired: this controller's shard may not act", "leader", n.leader)
	}
}
