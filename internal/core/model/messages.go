package model

import "time"

// Assignment is a task that the dispatcher assigns to a shard.
type Assignment struct {
	Task  Task
	Spec  *Spec
	Price float64
	Zone  Name // zone that the task must run in, or None
	// WaitingSince is when the task started to wait.
	WaitingSince time.Duration
	// Machine and Attempt are set if the task was found running and is adopted: where, and in
	// which attempt. Attempt is 0 for a task that is to be started.
	Machine MachineID
	Attempt uint64
	// WithinLimits reports that an adopted task fits its team's limit and its job's zones, which
	// are checked for every dispatched task. Otherwise the task may continue to run, but if it
	// stops, only the dispatcher may have it started again.
	WithinLimits bool
	// Redispatched reports that the task was interrupted before. The shard sends TaskResumed
	// once it runs again.
	Redispatched bool
}

// ShardID identifies a shard of a controller from the time it joins the leader until it is
// lost. IDs are never reused within a term.
type ShardID uint32

// Epoch identifies the time in which one shard owns a machine, from the order to own it until the
// machine is released or removed, or the shard is lost. It is the token that the ownership began with,
// so a later ownership has a higher epoch. Messages about an ownership carry its epoch, and whoever
// receives one of another epoch drops it: orders and events cross on their way. 0: not known, as in
// messages of releases up to 0.9.1.
type Epoch uint64

// Order is a message from the dispatcher to a shard. The comments name the kinds that use a
// field.
type Order struct {
	To      ShardID
	Kind    OrderKind
	Machine Machine // OwnMachine
	Token   uint64  // OwnMachine, InspectMachine
	Usable  bool    // OwnMachine, SetUsable: tasks may be placed there
	// ID is the machine that the order is about, except in OwnMachine, which uses Machine. In
	// RecallTask, the task is recalled only if it is on this machine; 0: wherever it is.
	ID MachineID
	// Epoch is the ownership that the order is about: OwnMachine, RemoveMachine, SetUsable,
	// ReleaseMachine, ConfirmLeaseExpiry, InspectMachine.
	Epoch      Epoch
	Assignment Assignment // AssignTask
	Task       Task       // RecallTask, ClearAttempt, KillAttempt
	Attempt    uint64     // ClearAttempt, KillAttempt
	Job        JobID      // EndJob, RepriceJob, RecallWaitingTasks, ExpediteJob
	Price      float64    // RepriceJob
	Count      int        // RecallWaitingTasks
	RedirectTo string     // ReleaseMachine, RedirectWorker: host that its worker should report to instead
	Objective  Objective  // RepriceJob
	// VerifyFirst (OwnMachine): earlier owners could not show that the worker receives messages.
	// Its reports are answered, which renews its lease, only after it has shown that.
	VerifyFirst bool
	// MessageID (ReleaseMachine) identifies the worker's report that another shard received. The
	// shard keeps the machine if it has a report at least as new. Zero: it always releases it.
	MessageID
}

// OrderKind is the kind of an Order.
type OrderKind uint8

// Kinds of orders.
const (
	OwnMachine         OrderKind = iota // the shard owns the machine under the token
	RemoveMachine                       // the machine no longer exists
	SetUsable                           // Usable has changed
	AssignTask                          // the shard is to run the task
	RecallTask                          // return the task: stop it if it runs
	ClearAttempt                        // the attempt's exit is recorded: the worker may forget it
	KillAttempt                         // the attempt must not run
	EndJob                              // the job has ended: stop all its tasks, then clear them
	RepriceJob                          // the job's tasks have a new price
	RecallWaitingTasks                  // return up to Count waiting tasks of Job
	ReleaseMachine                      // another shard is to own the machine
	// ConfirmLeaseExpiry: no other shard has renewed the worker's lease. Unless this shard has
	// done so since, the lease is over, and so is whatever the worker ran.
	ConfirmLeaseExpiry
	InspectMachine // report what runs on the machine
	RedirectWorker // another shard owns the machine: its worker should report there
	ExpediteJob    // the job is overdue: place its first task before all others
)

// Objective is whether a service level objective covers a job, or a job that depends on it. A job
// without one is best effort.
type Objective uint8

// Values of Objective.
const (
	ObjectiveUnchanged Objective = iota // sent by leaders of version 0.4 and earlier, which do not know it
	NoObjective
	HasObjective
)

// ObjectiveFor returns HasObjective or NoObjective.
func ObjectiveFor(hasObjective bool) Objective {
	if hasObjective {
		return HasObjective
	}
	return NoObjective
}

// Event is a message from a shard to the dispatcher. The comments name the kinds that use a
// field.
type Event struct {
	Kind    EventKind
	Machine MachineID
	// Epoch is the ownership in which the shard emitted the event. Events about a task, rather than about
	// a machine or an attempt found there, have none, and neither have UnownedWorker and MachineRemembered.
	Epoch   Epoch
	Report  *Report // UnownedWorker
	Task    Task
	Attempt uint64
	Status  AttemptStatus // AttemptFound
	Cause   Cause         // TaskReturned, TaskInterrupted
	Token   uint64        // LeaseExpired, LeaseExpiryConfirmed, MachineInspected, TokenSuperseded
	// Held has a different meaning for each kind:
	//   - TaskFinished: the completed attempt was the current one of a task assigned to this shard.
	//   - MachineReleased: this shard never answered the worker, so it has launched nothing there and
	//     has not renewed its lease.
	//   - CommandUnanswered: the worker is unreachable. Its report is overdue as well, or several
	//     probes failed, while most other workers of its zone report.
	//   - TaskInterrupted: the dispatcher had recalled the task.
	Held   bool
	Tasks  []Task       // MachineReleased: assigned tasks that are on the machine
	Placed []PlacedTask // MachineInspected
	// MessageID (UnownedWorker) identifies the report.
	MessageID
	// RunTime is, for TaskFinished, how long the task was seen running (0: unknown), and for
	// TaskInterrupted, how much of its work is lost.
	RunTime time.Duration
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	UnownedWorker EventKind = iota // a worker reports whose machine this shard does not own
	// WorkerFenced: the worker has shown this shard's token, so it refuses commands of earlier
	// owners. AttemptFound has been sent for every attempt there that the shard did not know.
	WorkerFenced
	LeaseExpired         // the worker's lease is over unless another shard has renewed it
	WorkerBack           // a worker whose lease had expired or that was unreachable reports again
	LeaseExpiryConfirmed // the worker's lease is over: nothing runs there
	MachineReleased      // the shard no longer owns the machine
	TokenNeeded          // a launch may still arrive late: a higher token makes the worker refuse it
	TokenSuperseded      // the worker has seen a higher token than this shard's
	AttemptFound         // the worker has an attempt that the shard did not know
	TaskFinished         // a task has completed
	TaskReturned         // a task runs nowhere, and is no longer assigned to this shard
	CommandUnanswered    // a worker that is unreachable or not fenced yet left a direct command unanswered
	MachineRemembered    // this controller's shard owned the machine in an earlier term
	RejectedAttemptGone  // an attempt that was found and not adopted no longer runs
	MachineInspected     // what runs on the machine
	TaskInterrupted      // a running task was stopped or lost; it did not exit by itself
	TaskResumed          // a task that was interrupted, here or before it was dispatched again, runs
	MachineKept          // the shard keeps the machine, because the worker still reports to it
)

// PlacedTask is a task on a machine, as the shard that owns the machine sees it.
type PlacedTask struct {
	Task     Task
	Stage    Stage
	RunTime  time.Duration // how long it was seen running
	Stopping bool          // it has been ordered to stop
	// Adopted: the task ran for an unknown time before this shard saw it. RunTime is a lower bound.
	Adopted bool
}

// MachineStatus is a shard's summary of a machine.
type MachineStatus struct {
	Machine      Machine
	Avail        Resources
	Ready        bool          // tasks may be placed there now
	Draining     bool          // it gets no new tasks: a preemption notice, or the worker may not receive messages
	AttemptCount int           // attempts on the machine, without those that only wait to be cleared
	IdleSince    time.Duration // when the number of attempts last became zero
	Faulty       bool          // considered faulty: tasks keep failing there
}

// BrokenJobMachines is the number of machines on which a job without a completed task must fail
// before the job is considered broken and the machines are no longer blamed for its errors.
const BrokenJobMachines = 2

// TaskCounts counts a job's tasks at a shard.
type TaskCounts struct{ Waiting, Running int }
