// Package model defines the types that honeylock's core packages share: jobs, tasks, machines,
// attempts, reports, commands, and the messages between the dispatcher and the shards. Names that
// come from outside are represented by dense indices; package wire converts between the two.
package model

import (
	"cmp"
	"math"
	"time"
)

// JobID is the number in a job's name.
type JobID uint64

// MachineID is the number in a machine's name.
type MachineID uint64

// Name is the dense index of a name received from outside, such as that of a team or zone.
type Name int32

// None is the Name of an optional name that is not given.
const None Name = -1

// Rank is the importance of a job.
type Rank uint8

// Ranks, least important first.
const (
	Idle Rank = iota
	Standard
	Urgent
	Prod
)

// Priority returns the priority of the job's tasks at a price: the price squared. Score
// multiplies it by the waiting time. The price alone is not enough: with prices a factor of ten
// apart, low-priority tasks that have waited for minutes, as in a burst or while a zone is
// partitioned, would go before high-priority tasks that have waited for seconds.
//
// Best-effort jobs come after jobs of the same price that have an objective. Otherwise they can
// fill a whole cluster while work with a deadline of minutes waits behind them. As the price is
// the same, neither can evict the other.
func (s *Spec) Priority(price float64) float64 {
	priority := price * price
	if s.BestEffort {
		priority /= bestEffortWaitFactor
	}
	return priority
}

// Score returns the order in which waiting tasks are placed, highest first: their priority times
// how long they have waited.
func (s *Spec) Score(price float64, waited time.Duration) float64 {
	return s.Priority(price) * (waited + time.Second/10).Seconds()
}

// bestEffortWaitFactor is how many times longer a best-effort task must wait than a task with an
// objective of the same price to reach the same score.
const bestEffortWaitFactor = 100

// AttemptsPerMachine is how many attempts may be on a machine at a time, exited ones included until their
// worker has cleared them. Each report lists them all, in the 64 KiB that the protocol allows.
const AttemptsPerMachine = 512

// Resources are what tasks take of machines. They are integers so that sums are exact.
type Resources struct {
	CPU, GPU, Mem int64 // in thousandths
	Attempts      int64 // number of attempts: 1 for a task, AttemptsPerMachine for a machine
}

// Request converts what a task requests. It rounds up: a task never uses more than it is charged for.
func Request(cpu, gpu, mem float64) Resources {
	up := func(v float64) int64 { return int64(math.Ceil(v*1000 - 1e-6)) }
	return Resources{CPU: up(cpu), GPU: up(gpu), Mem: up(mem), Attempts: 1}
}

// Capacity converts what a machine has. It rounds down: a machine never offers more than it has.
func Capacity(cpu, gpu, mem float64) Resources {
	down := func(v float64) int64 { return int64(math.Floor(v*1000 + 1e-6)) }
	return Resources{CPU: down(cpu), GPU: down(gpu), Mem: down(mem), Attempts: AttemptsPerMachine}
}

// Add returns r+o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.GPU + o.GPU, r.Mem + o.Mem, r.Attempts + o.Attempts}
}

// Sub returns r-o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.GPU - o.GPU, r.Mem - o.Mem, r.Attempts - o.Attempts}
}

// Times returns n*r.
func (r Resources) Times(n int64) Resources {
	return Resources{r.CPU * n, r.GPU * n, r.Mem * n, r.Attempts * n}
}

// Fits reports whether r fits into capacity.
func (r Resources) Fits(capacity Resources) bool {
	return r.CPU <= capacity.CPU && r.GPU <= capacity.GPU && r.Mem <= capacity.Mem && r.Attempts <= capacity.Attempts
}

// Count returns how many requests of size r fit into capacity, 0 for an empty request.
func (r Resources) Count(capacity Resources) int64 {
	count := int64(math.MaxInt64)
	for _, pair := range [4][2]int64{{r.CPU, capacity.CPU}, {r.GPU, capacity.GPU}, {r.Mem, capacity.Mem},
		{r.Attempts, capacity.Attempts}} {
		if pair[0] > 0 {
			count = min(count, max(0, pair[1]/pair[0]))
		}
	}
	if count == math.MaxInt64 {
		return 0
	}
	return count
}

// Spec is an accepted job.
type Spec struct {
	ID                     JobID
	Class, Team, Image     Name
	Daemon                 bool
	Rank                   Rank
	Tasks                  int32
	PerTask                Resources
	ImageGB                float64
	Types                  []Name // nil: any
	Zone                   Name
	SameZone, Spread, Spot bool
	Estimate               time.Duration
	CheckpointInterval     time.Duration
	CheckpointTime         time.Duration
	Deadline               time.Duration // from submission; 0: none
	BestEffort             bool          // its class has no objective, and its team no guarantee
	SubmittedMS            int64         // time of day at acceptance; only for ordering and deadlines
}

// Allows reports whether the job's tasks may run on a machine, by its type, zone and whether it is spot.
func (s *Spec) Allows(m *Machine) bool {
	if m.Spot && !s.Spot || s.Zone != None && s.Zone != m.Zone {
		return false
	}
	if s.Types == nil {
		return true
	}
	for _, t := range s.Types {
		if t == m.Type {
			return true
		}
	}
	return false
}

// Task identifies one task of a job.
type Task struct {
	Job   JobID
	Index int32
}

// Compare orders tasks by job, then by index.
func (t Task) Compare(o Task) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), cmp.Compare(t.Index, o.Index))
}

// Machine holds the properties of a machine that do not change.
type Machine struct {
	ID         MachineID
	Addr       string
	Type, Zone Name
	Spot       bool
	Cap        Resources
	FetchRate  float64 // GB/s
}

// MachineType is an entry of the cloud's catalog.
type MachineType struct {
	Name             Name
	Cap              Resources
	FetchRate        float64
	Price, SpotPrice float64
	Boot             time.Duration
	Zones            []Name
}

// Stage is the stage of an attempt on a machine.
type Stage uint8

// Stages of an attempt.
const (
	Fetching Stage = iota
	Running
	Saving
	Exited
)

// Cause is why an attempt exited.
type Cause uint8

// Causes of an attempt's exit.
const (
	CauseOther Cause = iota
	CauseDone
	CauseStopped
	CauseError
	CauseNoCapacity
	CauseBusy
	CauseUnknown
)

// AttemptStatus is the state of one attempt in a worker's report.
type AttemptStatus struct {
	Task    Task
	Attempt uint64
	Stage   Stage
	Cause   Cause
	Saved   bool
}

// Report is a worker's report of its state.
type Report struct {
	Machine          Machine // Cap and FetchRate are not filled in
	Session          uint64
	Seq              uint64
	Token            uint64
	PreemptionNotice time.Duration // until the cloud preempts the machine; <0: no notice
	Attempts         []AttemptStatus
}

// MessageID identifies a message of a worker. Newer messages have a higher session, or the same
// session and a higher sequence number.
type MessageID struct{ Session, Seq uint64 }

// AtLeast reports whether message id is at least as new as the other one.
func (id MessageID) AtLeast(other MessageID) bool {
	return id.Session > other.Session || id.Session == other.Session && id.Seq >= other.Seq
}

// Newer reports whether the report is newer than the message with the given session and sequence
// number.
func (r *Report) Newer(session, seq uint64) bool {
	return !(MessageID{session, seq}).AtLeast(r.MessageID())
}

// MessageID returns the ID of the report.
func (r *Report) MessageID() MessageID { return MessageID{r.Session, r.Seq} }

// Verb is what a command does.
type Verb uint8

// Verbs of commands.
const (
	Launch Verb = iota
	Kill
	Clear
)

// Command orders a worker to launch, kill or clear an attempt.
type Command struct {
	Verb    Verb
	Task    Task
	Attempt uint64
	Grace   time.Duration
}
