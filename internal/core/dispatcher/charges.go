package dispatcher

import "honeylock/internal/core/model"

// ChargeReason is why a task began or ceased to count against its team's limit.
type ChargeReason uint8

// Reasons why a charge begins, then reasons why it ends.
const (
	Dispatched        ChargeReason = iota // assigned to a shard, within the limit
	Adopted                               // found on a machine; may exceed the limit
	Completed                             // the task completed
	Returned                              // its shard reported that it runs nowhere
	MachinesAccounted                     // every machine that it may have been on is accounted for
)

// String returns the reason as it is logged.
func (r ChargeReason) String() string {
	return [...]string{"dispatched", "adopted", "completed", "returned by its shard", "machines accounted for"}[r]
}

// Charge is a change of the resources that a team is charged for.
type Charge struct {
	Task   model.Task
	Zone   model.Name // the zone that the task is charged to; None: any
	Shard  model.ShardID
	Reason ChargeReason
	Used   model.Resources // by the team, after the change
	Limit  model.Resources // of the team
}

// OnCharge sets a function that is called for each change of a charge; nil removes it.
func (d *Dispatcher) OnCharge(f func(Charge)) { d.onCharge = f }

// reportCharge passes a change to the function set by OnCharge.
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

// Stats counts events of this term that are rare in normal operation.
type Stats struct {
	ExpiredMachines    uint64 // machines whose lease expiry was confirmed
	ReturnedMachines   uint64 // machines whose workers reported again after that
	UnexpectedAttempts uint64 // attempts found on machines that were accounted for
	StaleEvents        uint64 // events about an ownership that had ended
	LimitedRounds      uint64 // times that a limit kept tasks of a job from being dispatched
}

// Stats returns the counts of this term.
func (d *Dispatcher) Stats() Stats { return d.stats }

// LeaseExpiryConfirmed reports whether a machine's lease expiry was confirmed and its worker has
// not reported since.
func (d *Dispatcher) LeaseExpiryConfirmed(id model.MachineID) bool {
	m := d.machines[id]
	return m != nil && m.expiryConfirmed
}

// isAccounted reports whether everything that earlier owners left on a machine is known. Any other
// attempt found there is unexpected.
func (d *Dispatcher) isAccounted(m *machine) bool {
	return m.fenced && !d.unaccounted[m.ID] && len(m.orphanGroups) == 0
}
