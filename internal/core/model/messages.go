package model

import "time"

// Deal gives a task to a shard.
type Deal struct {
	Task  Task
	Spec  *Spec
	Price float64
	Zone  Name // pinned zone, or None
	// Since is when the task began to wait.
	Since time.Duration
	// Adopted: the task was found on this machine in this attempt.
	Machine MachineID
	Attempt uint64 // 0: not adopted
	// Checked: the adopted task is within its team's limit and its job's zones, as one that is
	// dispatched. Otherwise it may run on, but only the dispatcher may have it started again.
	Checked bool
	// Again: it was out of work; the shard tells when it is at work again.
	Again bool
}

// ShardID names one incarnation of a controller's shard; ids are never reused
// within a term.
type ShardID uint32

// Order is what the dealer tells a shard.
type Order struct {
	To      ShardID
	Kind    OrderKind
	Machine Machine   // Own
	Token   uint64    // Own
	Usable  bool      // Own, Use: tasks may be placed there
	ID      MachineID // Disown, Use, Clear, Kill, LookAt, Elsewhere; Recall: only if it is there, 0: anywhere
	Deal    Deal      // Deal
	Task    Task      // Recall, Clear, Kill
	Attempt uint64    // Clear, Kill
	Job     JobID     // EndJob, Price
	Price   float64   // Price
	Count   int       // RecallWaiting
	Keeper  string    // Release, Elsewhere: where its worker should report instead
	Aim     Aim       // Reprice
	// Own: others could not show that its worker hears; it is answered only once it does.
	Prove bool
	// Release: of the report that came in elsewhere; none: let go in any case.
	Numbers
}

// OrderKind tells orders apart.
type OrderKind uint8

// Orders.
const (
	Own           OrderKind = iota // this shard owns the machine under the token
	Disown                         // the machine is surely gone
	Use                            // Usable changed
	Give                           // Deal
	Recall                         // give the task back: stop it where it runs
	ClearIt                        // the attempt's exit is accounted for: clear it
	KillIt                         // an attempt that must not be
	EndJob                         // the job is over: stop all, then clear all
	Reprice                        // the job's tasks have a new price
	RecallWaiting                  // give back up to Count waiting tasks of Job
	Release                        // another shard is to own the machine: let go of it
	Lapse                          // its worker's lease is surely over
	LookAt                         // tell what runs on the machine
	Elsewhere                      // a machine that is not this shard's is another's: its worker should report there
	First                          // the job should have begun: its first task comes before all else
)

// Aim tells whether an aim speaks of a job, or of one that needs it.
type Aim uint8

// Aims.
const (
	AimKept Aim = iota // as before: a leader of 0.4 does not say
	AimNo
	AimYes
)

// Aimed is the aim of a job that an aim speaks of, or not.
func Aimed(yes bool) Aim {
	if yes {
		return AimYes
	}
	return AimNo
}

// Event is what a shard tells the dealer.
type Event struct {
	Kind    EventKind
	Machine MachineID
	Report  *Report // Unowned
	Task    Task
	Attempt uint64
	Cell    Cell   // Found
	Cause   Cause  // Gone
	Token   uint64 // Superseded
	// Finished: the task held here ended with it. Released: its worker was never answered
	// here. Unanswered: its report is overdue as
	// well, while others of its zone report.
	Held  bool
	Tasks []Task      // Released: tasks that were on the machine
	On    []OnMachine // Looked
	// Unowned: of the report.
	Numbers
	Ran time.Duration // Finished: it was seen running for so long; 0: not known. Idled: so much is lost
}

// EventKind tells events apart.
type EventKind uint8

// Events.
const (
	Unowned    EventKind = iota // a worker that nobody here owns reports
	Fenced                      // the worker has shown our token; all it holds was told
	Silent                      // its lease is over, if nobody else has answered it
	Heard                       // a worker that was told silent reports again
	Lapsed                      // its lease is surely over: nothing is there
	Released                    // the machine is let go of
	NeedToken                   // a launch is in doubt: the worker's token must rise
	Superseded                  // the worker has seen a higher token
	Found                       // an attempt that the shard doesn't know
	Finished                    // a task completed
	Gone                        // a task is nowhere, and this shard holds it no more
	Unanswered                  // a direct command to a worker that is not fenced, or is overdue, went unanswered
	Remembered                  // the controller's shard of an earlier term owned the machine
	StrayGone                   // a found attempt that was not adopted is nowhere now
	Looked                      // what runs on the machine
	Idled                       // a task that ran is out of work, for other reasons than its own: Held: it was recalled
	AtWork                      // a task that was told idle, or dealt again, runs
	Kept                        // the machine is not let go of: its worker reports here
)

// OnMachine is a task on a machine, as its owner sees it.
type OnMachine struct {
	Task     Task
	Stage    Stage
	Ran      time.Duration // seen running for so long
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

// BrokenFrom is how many machines a job without a completed task fails on until
// it, and not they, is held to be at fault.
const BrokenFrom = 2

// JobCount counts a job's tasks at a shard.
type JobCount struct{ Waiting, Running int }
