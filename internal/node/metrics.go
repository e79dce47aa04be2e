package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"honeylock/internal/core/shard"
	"honeylock/internal/core/writequota"
)

// Register registers the controller's metrics.
func (n *Node) Register(reg *prometheus.Registry) {
	gauge := func(name, help string, f func() float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "honeylock_" + name, Help: help}, func() float64 {
			n.mu.Lock()
			defer n.mu.Unlock()
			return f()
		}))
	}
	counter := func(name, help string, f func() uint64) {
		reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "honeylock_" + name + "_total", Help: help},
			func() float64 {
				n.mu.Lock()
				defer n.mu.Unlock()
				return float64(f())
			}))
	}
	gauge("leading", "1 while this controller leads.", func() float64 {
		if n.lead != nil {
			return 1
		}
		return 0
	})
	gauge("term", "The term this controller last led.", func() float64 { return float64(n.election.Term()) })
	shardGauge := func(name, help string, value func(*shard.Shard) int) {
		gauge(name, help, func() float64 {
			if n.local == nil {
				return 0
			}
			return float64(value(n.local.shard))
		})
	}
	shardGauge("tasks_waiting", "Dealt tasks that wait for room.", (*shard.Shard).WaitingCount)
	shardGauge("machine_attempts_max", "Attempts on the machine of this controller's that has most of them.",
		(*shard.Shard).MaxAttempts)
	counter("halts", "Times that this controller stood still for more than a second.",
		func() uint64 { return n.stats.Stalls })
	gauge("lag_seconds", "How far behind this process is, by its timers.", func() float64 {
		return n.health.lag(n.now()).Seconds()
	})
	gauge("state_share", "The part of the state service's rate that this controller uses at most.", func() float64 {
		share, _, _ := n.state.Stats()
		return share
	})
	counter("state_shed", "Requests to the state service that this controller refused itself for want of rate.",
		func() uint64 {
			_, shed, _ := n.state.Stats()
			return shed
		})
	counter("state_busy", "Requests that the state service refused for its rate.", func() uint64 {
		_, _, busy := n.state.Stats()
		return busy
	})
	counter("questions_compared",
		"Users' questions about open jobs that this controller compared, its siblings' included.",
		func() uint64 { return n.openChecker.stats().compared })
	counter("comparisons", "Comparisons with the state service that answered them.",
		func() uint64 { return n.openChecker.stats().comparisons })
	counter("questions_passed", "Users' questions about open jobs that this controller passed to the leader.",
		func() uint64 { return n.openChecker.stats().forwarded })
	counter("state_invalid", "Requests that the state service took for invalid, most likely for their size.",
		func() uint64 { return n.state.Invalid() })
	gauge("state_writes_per_second", "The state service's rate of changes as far as is known.", func() float64 {
		rate, _ := n.state.WriteRate()
		return rate
	})
	gauge("jobs_awaiting", "Open jobs that await others, on the leader.", whileLeading(n, func(l *leadership) float64 {
		awaiting, _, _ := l.dependencies.graph.Counts()
		return float64(awaiting)
	}))
	gauge("lookups_pending", "Ended jobs whose final record must be read because open jobs await them, on the leader.",
		whileLeading(n, func(l *leadership) float64 {
			_, unresolved, _ := l.dependencies.graph.Counts()
			return float64(unresolved)
		}))
	gauge("lookups_in_flight", "Reads of such final records in flight, on the leader.",
		whileLeading(n, func(l *leadership) float64 { return float64(l.dependencies.lookups) }))
	gauge("cancellations_behind_seconds", "How long ago the oldest cancellation may have been told that has not gone "+
		"through to all that need the job, on the leader.", func() float64 {
		if n.lead == nil || !n.lead.loaded {
			return 0
		}
		return (n.now() - n.lead.dependencies.propagatedUntil(n.now())).Seconds()
	})
	gauge("jobs_broken", "Open jobs held to be broken, on the leader.", whileLeading(n, func(l *leadership) float64 {
		return float64(l.dispatcher.BrokenJobCount())
	}))
	gauge("machines_faulty", "Machines held to be faulty, on the leader.", whileLeading(n, func(l *leadership) float64 {
		faulty := 0
		for _, status := range l.dispatcher.MachineStatuses() {
			if status.Faulty {
				faulty++
			}
		}
		return float64(faulty)
	}))
	gauge("machines_unheard", "Machines that report and that nothing shows to hear, on the leader.",
		whileLeading(n, func(l *leadership) float64 { return float64(l.dispatcher.UnverifiedCount()) }))
	gauge("drain_plans", "Drain plans under way, on the leader.", whileLeading(n, func(l *leadership) float64 {
		plans, _ := l.drains.engine.ActiveCounts()
		return float64(plans)
	}))
	gauge("drain_machines", "Machines that drain plans keep tasks from, on the leader.",
		whileLeading(n, func(l *leadership) float64 {
			_, machines := l.drains.engine.ActiveCounts()
			return float64(machines)
		}))
	gauge("records_waiting_seconds", "How long operators' records have waited to be stored, on the leader.",
		whileLeading(n, func(l *leadership) float64 {
			return l.writeQuota.BlockedFor(n.now(), writequota.OperatorRecords).Seconds()
		}))
	reg.MustRegister(newDisruptionMetrics(n))
	reg.MustRegister(newStarvationMetrics(n))
	counter("reports", "Workers' reports received.", func() uint64 { return n.stats.Reports })
	counter("reports_redirected", "Workers' reports answered with 421.", func() uint64 { return n.stats.Redirected })
	counter("machines_lapsed", "Machines whose lease was over, in this controller's present term.",
		whileLeading(n, func(l *leadership) uint64 { return l.dispatcher.Stats().ExpiredMachines }))
	counter("machines_returned", "Machines heard of again after their lease was over, in this controller's present term.",
		whileLeading(n, func(l *leadership) uint64 { return l.dispatcher.Stats().ReturnedMachines }))
	counter("attempts_unexpected",
		"Attempts found on machines that were accounted for, in this controller's present term.",
		whileLeading(n, func(l *leadership) uint64 { return l.dispatcher.Stats().UnexpectedAttempts }))
	counter("stale_events", "Events of shards that were about an ownership of a machine that had ended, in this term.",
		whileLeading(n, func(l *leadership) uint64 { return l.dispatcher.Stats().StaleEvents }))
	counter("dispatch_limited", "Times that a team's limit kept a job's tasks waiting, in this controller's present term.",
		whileLeading(n, func(l *leadership) uint64 { return l.dispatcher.Stats().LimitedRounds }))
	shardCount := func(f func() uint64) func() uint64 {
		return func() uint64 {
			if n.local == nil {
				return 0
			}
			return f()
		}
	}
	counter("reports_lapsed", "Reports refused by this controller's present shard because their session's lease is over.",
		shardCount(func() uint64 { return n.local.shard.Stats.ExpiredSessionReports }))
	counter("stale_orders", "Orders of the leader that were about an ownership of a machine that had ended.",
		shardCount(func() uint64 { return n.local.shard.Stats.StaleOrders }))
	counter("tasks_placed", "Tasks placed on machines by this controller's present shard.",
		shardCount(func() uint64 { return n.local.shard.Stats.Placed }))
	counter("tasks_evicted", "Tasks evicted for higher-priced ones by this controller's present shard.",
		shardCount(func() uint64 { return n.local.shard.Stats.Evicted }))
	counter("tasks_demoted", "Demotions by this controller's present shard.",
		shardCount(func() uint64 { return n.local.shard.Stats.Demoted }))
	counter("tasks_lost", "Tasks lost with their machines by this controller's present shard.",
		shardCount(func() uint64 { return n.local.shard.Stats.Lost }))
	counter("machines_looked_at", "Machines looked at for waiting tasks by this controller's present shard.",
		shardCount(func() uint64 { return n.local.shard.Stats.MachinesExamined }))
	counter("task_errors", "Tasks that ended with an error by this controller's present shard.",
		shardCount(func() uint64 { return n.local.shard.Stats.Errors }))
}

// whileLeading returns a function that returns f's value while this controller leads, else 0.
func whileLeading[T float64 | uint64](n *Node, f func(l *leadership) T) func() T {
	return func() T {
		if n.lead == nil {
			return 0
		}
		return f(n.lead)
	}
}
