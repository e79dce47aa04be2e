package dispatcher

import "honeylock/internal/core/model"

// ChargeReason is why a task began or ceased to count against its team's limit.
type ChargeReason uint8

// Reasons to charge a task, then reasons to take a charge back.
const (
	Dispatched        ChargeReason = iota // given to a shard, under the limit
	Adopted                               // found on a machine; it may be beyond the limit
	Completed                             // it has completed
	Returned                              // its shard told that it is nowhere
	MachinesAccounted                     // each machine that it may have been on is accounted for
)

// String is the reason as the log has it.
func (r ChargeReason) String() string {
	return [...]string{"dispatched", "adopted", "completed", "returned by its shard", "machines accounted for"}[r]
}

// Charge is a change of what a team is charged for.
type Charge struct {
	Task   model.Task
	Zone   model.Name // that the task is charged to; None: any
	Shard  model.ShardID
	Reason ChargeReason
	Used   model.Resources // by the team, after the change
	Limit  model.Resources // of the team
}

// OnCharge has f told of each change of what teams are charged for; nil ends that.
func (d *Dispatcher) OnCharge(f func(Charge)) { d.onCharge = f }

func (d *Dispatcher) reportCharge(j *job, index int32, a assignment, reason ChargeReason) {
	if d.onCharge == nil {
		return
	}
	d.onCharge(Charge{
		Task:   model.Task{Job: j.spec.ID, Index: index},
		Zone:   a.zone,
		Shard:  a.shard,
		Reason: reason,
		Used:   d.usage[j.spec.Team],
		Limit:  d.params.Teams[j.spec.Team].Limit,
	})
}

// Stats count what a term's dealer has seen; each is rare on a plain day.
type Stats struct {
	ExpiredMachines    uint64 // machines whose lease was over
	ReturnedMachines   uint64 // machines that were heard of after that
	UnexpectedAttempts uint64 // attempts found on machines that were accounted for
	LimitedRounds      uint64 // rounds in which a limit kept a job's tasks from being dispatched
}

// Stats are this term's counts.
func (d *Dispatcher) Stats() Stats { return d.stats }

// LeaseExpiryConfirmed tells whether a machine's lease is over and nothing was heard of it since.
func (d *Dispatcher) LeaseExpiryConfirmed(id model.MachineID) bool {
	m := d.machines[id]
	return m != nil && m.expiryConfirmed
}

// isAccounted tells whether all that earlier owners left on a machine is known: whatever else
// is found there is not expected.
func (d *Dispatcher) isAccounted(m *machine) bool {
	return m.fenced && !d.unaccounted[m.ID] && len(m.orphanGroups) == 0
}
