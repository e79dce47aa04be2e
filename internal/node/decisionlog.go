package node

import (
	"context"
	"log/slog"
	"time"

	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/model"
	"honeylock/internal/wire"
)

// The decision log tells, by jobs' and machines' names, why a task was allowed to start and why
// it was taken for free: who owned a machine under which token, what was charged to its team,
// and on which session the decision rested. What is rare on a plain day is told at info, the
// rest at debug.

// logEnabled tells whether a level is on, so that nothing is gathered for a line that is not written.
func (n *Node) logEnabled(level slog.Level) bool { return n.log.Enabled(context.Background(), level) }

// logCharges has each change of a team's charges told at debug.
func (l *leadership) logCharges() {
	if !l.node.logEnabled(slog.LevelDebug) {
		return
	}
	l.dispatcher.OnCharge(func(c dispatcher.Charge) {
		l.node.log.Debug("charge", "task", wire.TaskName(c.Task), "reason", c.Reason.String(), "shard", c.Shard,
			"zone", l.node.zoneName(c.Zone), "used_cpu", c.Used.CPU, "limit_cpu", c.Limit.CPU, "term", l.term)
	})
}

func (n *Node) zoneName(z model.Name) string {
	if z == model.None {
		return "any"
	}
	return n.names.Zones.Name(z)
}

// logEvent tells of an event of a shard, before it is taken.
func (l *leadership) logEvent(from model.ShardID, e *model.Event) {
	switch e.Kind {
	case model.LeaseExpiryConfirmed:
		if l.dispatcher.LeaseExpiryConfirmed(e.Machine) {
			return // told again
		}
		l.node.log.Info("machine's lease is over: what it ran is lost", "machine", wire.MachineName(e.Machine), "shard", from,
			"token", e.Token)
	case model.WorkerBack, model.WorkerFenced:
		if l.dispatcher.LeaseExpiryConfirmed(e.Machine) {
			l.node.log.Info("machine is back after its lease was over", "machine", wire.MachineName(e.Machine), "shard", from)
		}
	case model.AttemptFound:
		if l.node.logEnabled(slog.LevelDebug) {
			l.node.log.Debug("attempt found", "task", wire.TaskName(e.Task), "attempt", e.Attempt,
				"machine", wire.MachineName(e.Machine), "shard", from)
		}
	case model.MachineReleased, model.MachineKept:
		if l.node.logEnabled(slog.LevelDebug) {
			l.node.log.Debug("machine let go of, or kept", "machine", wire.MachineName(e.Machine), "shard", from,
				"kept", e.Kind == model.MachineKept, "tasks", len(e.Tasks))
		}
	}
}

// logOrder tells of an order to a shard.
func (l *leadership) logOrder(o *model.Order) {
	if o.Kind == model.KillAttempt {
		l.node.log.Info("attempt found that must not be: it is stopped", "task", wire.TaskName(o.Task), "attempt", o.Attempt,
			"machine", wire.MachineName(o.ID), "shard", o.To)
		return
	}
	if !l.node.logEnabled(slog.LevelDebug) {
		return
	}
	switch o.Kind {
	case model.OwnMachine:
		l.node.log.Debug("machine owned", "machine", wire.MachineName(o.Machine.ID), "shard", o.To, "token", o.Token)
	case model.AssignTask:
		l.node.log.Debug("task given", "task", wire.TaskName(o.Assignment.Task), "shard", o.To, "adopted",
			o.Assignment.Attempt)
	case model.ConfirmLeaseExpiry:
		l.node.log.Debug("lease to be confirmed as over", "machine", wire.MachineName(o.ID), "shard", o.To)
	}
}

// logStarts tells of the launches that a worker is sent. session is the worker's.
func (n *Node) logStarts(machine model.MachineID, token, session uint64, commands []model.Command, direct bool) {
	if !n.logEnabled(slog.LevelDebug) {
		return
	}
	for _, c := range commands {
		if c.Verb == model.Launch {
			n.log.Debug("start sent", "task", wire.TaskName(c.Task), "attempt", c.Attempt,
				"machine", wire.MachineName(machine), "token", token, "session", session, "direct", direct)
		}
	}
}

// logRefused tells of a report that was refused because its session's lease is over.
func (n *Node) logRefused(r *model.Report) {
	n.log.Info("report refused: its session's lease is over", "machine", wire.MachineName(r.Machine.ID),
		"session", r.Session, "number", r.Seq, "token", r.Token)
}

// logGrant tells when this controller's shard may act no more, and when it may again.
func (n *Node) logGrant(now time.Duration, local *localShard) {
	granted := local.shard.HasGrant(now)
	if granted == local.loggedGrant {
		return
	}
	local.loggedGrant = granted
	if granted {
		n.log.Info("grant begins: this controller's shard may act", "leader", n.leader)
	} else {
		n.log.Info("grant is over: this controller's shard may not act", "leader", n.leader)
	}
}
