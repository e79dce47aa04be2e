package model

import "time"

// Assignment gives a task to a shard.
type Assignment struct {
	Task  Task
	Spec  *Spec
	Price float64
	Zone  Name // pinned zone, or None
	// WaitingSince is when the task began to wait.
	WaitingSince time.Duration
	// Adopted: the task was found on this machine in this attempt.
	Machine MachineID
	Attempt uint64 // 0: not adopted
	// WithinLimits: the adopted task is within its team's limit and its job's zones, as one that is
	// dispatched. Otherwise it may run on, but only the dispatcher may have it started again.
	WithinLimits bool
	// Redispatched: it was out of work; the shard tells when it is at work again.
	Redispatched bool
}

// ShardID names one incarnation of a controller's shard; ids are never reused
// within a term.
type ShardID uint32

// Order is what the dealer tells a shard.
type Order struct {
	To         ShardID
	Kind       OrderKind
	Machine    Machine    // Own
	Token      uint64     // Own
	Usable     bool       // Own, Use: tasks may be placed there
	ID         MachineID  // Disown, Use, Clear, Kill, LookAt, Elsewhere; Recall: only if it is there, 0: anywhere
	Assignment Assignment // Deal
	Task       Task       // Recall, Clear, Kill
	Attempt    uint64     // Clear, Kill
	Job        JobID      // EndJob, Price
	Price      float64    // Price
	Count      int        // RecallWaiting
	RedirectTo string     // Release, Elsewhere: where its worker should report instead
	Objective  Objective  // Reprice
	// Own: others could not show that its worker hears; it is answered only once it does.
	VerifyFirst bool
	// Release: of the report that came in elsewhere; none: let go in any case.
	MessageID
}

// OrderKind tells orders apart.
type OrderKind uint8

// Orders.
const (
	OwnMachine         OrderKind = iota // this shard owns the machine under the token
	RemoveMachine                       // the machine is surely gone
	SetUsable                           // Usable changed
	AssignTask                          // Deal
	RecallTask                          // give the task back: stop it where it runs
	ClearAttempt                        // the attempt's exit is accounted for: clear it
	KillAttempt                         // an attempt that must not be
	EndJob                              // the job is over: stop all, then clear all
	RepriceJob                          // the job's tasks have a new price
	RecallWaitingTasks                  // give back up to Count waiting tasks of Job
	ReleaseMachine                      // another shard is to own the machine: let go of it
	ConfirmLeaseExpiry                  // its worker's lease is surely over
	InspectMachine                      // tell what runs on the machine
	RedirectWorker                      // a machine that is not this shard's is another's: its worker should report there
	ExpediteJob                         // the job should have begun: its first task comes before all else
)

// Objective tells whether an aim speaks of a job, or of one that needs it.
type Objective uint8

// Aims.
const (
	ObjectiveUnchanged Objective = iota // as before: a leader of 0.4 does not say
	NoObjective
	HasObjective
)

// ObjectiveFor is the aim of a job that an aim speaks of, or not.
func ObjectiveFor(hasObjective bool) Objective {
	if hasObjective {
		return HasObjective
	}
	return NoObjective
}

// Event is what a shard tells the dealer.
type Event struct {
	Kind    EventKind
	Machine MachineID
	Report  *Report // Unowned
	Task    Task
	Attempt uint64
	Status  AttemptStatus // Found
	Cause   Cause         // Gone
	Token   uint64        // Superseded
	// Finished: the task held here ended with it. Released: its worker was never answered
	// here. Unanswered: its report is overdue as
	// well, while others of its zone report.
	Held   bool
	Tasks  []Task       // Released: tasks that were on the machine
	Placed []PlacedTask // Looked
	// Unowned: of the report.
	MessageID
	RunTime time.Duration // Finished: it was seen running for so long; 0: not known. Idled: so much is lost
}

// EventKind tells events apart.
type EventKind uint8

// Events.
const (
	UnownedWorker        EventKind = iota // a worker that nobody here owns reports
	WorkerFenced                          // the worker has shown our token; all it holds was told
	LeaseExpired                          // its lease is over, if nobody else has answered it
	WorkerBack                            // a worker that was told silent reports again
	LeaseExpiryConfirmed                  // its lease is surely over: nothing is there
	MachineReleased                       // the machine is let go of
	TokenNeeded                           // a launch is in doubt: the worker's token must rise
	TokenSuperseded                       // the worker has seen a higher token
	AttemptFound                          // an attempt that the shard doesn't know
	TaskFinished                          // a task completed
	TaskReturned                          // a task is nowhere, and this shard holds it no more
	CommandUnanswered                     // a direct command to a worker that is not fenced, or is overdue, went unanswered
	MachineRemembered                     // the controller's shard of an earlier term owned the machine
	RejectedAttemptGone                   // a found attempt that was not adopted is nowhere now
	MachineInspected                      // what runs on the machine
	TaskInterrupted                       // a task that ran is out of work, for other reasons than its own: Held: it was recalled
	TaskResumed                           // a task that was told idle, or dealt again, runs
	MachineKept                           // the machine is not let go of: its worker reports here
)

// PlacedTask is a task on a machine, as its owner sees it.
type PlacedTask struct {
	Task     Task
	Stage    Stage
	RunTime  time.Duration // seen running for so long
	Stopping bool          // it was told to stop
	// Adopted: it ran before it was seen, nobody knows for how long; Ran is the least.
	Adopted bool
}

// MachineStatus is a shard's summary of a machine.
type MachineStatus struct {
	Machine   Machine
	Avail     Resources
	Ready     bool // may get tasks now
	Draining  bool
	Slots     int
	IdleSince time.Duration
	Faulty    bool // held to be faulty
}

// BrokenJobMachines is how many machines a job without a completed task fails on until
// it, and not they, is held to be at fault.
const BrokenJobMachines = 2

// TaskCounts counts a job's tasks at a shard.
type TaskCounts struct{ Waiting, Running int }
