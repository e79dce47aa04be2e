// Package model holds the terms that honeylock's cores share: jobs, tasks,
// machines, attempts, reports and commands. Every name from outside is a dense
// index here; the wire package turns names into indices and back.
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

// Name is a dense index for a name met at the door; None means "not given".
type Name int32

// None is the Name of what was not given.
const None Name = -1

// Rank orders jobs by importance.
type Rank uint8

// Ranks, least important first.
const (
	Idle Rank = iota
	Standard
	Urgent
	Prod
)

// Priority of a job's tasks at that price, which their wait is multiplied by: the
// price squared. Prices a factor of ten apart would let low work that has waited
// for minutes, as in a burst or with a zone cut off, go before high work that has
// waited for seconds. Work that no aim speaks of comes after work of its price
// that has one: guests' jobs for idle time once filled a whole cluster, and what
// had to be done in minutes waited behind them. The price is the same, so neither
// can evict the other.
func (s *Spec) Priority(price float64) float64 {
	priority := price * price
	if s.BestEffort {
		priority /= bestEffortWaitFactor
	}
	return priority
}

// Score orders waiting work, the highest first: the price's priority times how long
// it has waited.
func (s *Spec) Score(price float64, waited time.Duration) float64 {
	return s.Priority(price) * (waited + time.Second/10).Seconds()
}

// bestEffortWaitFactor is how much longer work that no aim speaks of waits than other work of
// its price.
const bestEffortWaitFactor = 100

// Resources are amounts in thousandths, so that sums are exact.
type Resources struct{ CPU, GPU, Mem int64 }

// Request rounds up: a task never takes more than it is charged for.
func Request(cpu, gpu, mem float64) Resources {
	up := func(v float64) int64 { return int64(math.Ceil(v*1000 - 1e-6)) }
	return Resources{up(cpu), up(gpu), up(mem)}
}

// Capacity rounds down: a machine never offers more than it has.
func Capacity(cpu, gpu, mem float64) Resources {
	down := func(v float64) int64 { return int64(math.Floor(v*1000 + 1e-6)) }
	return Resources{down(cpu), down(gpu), down(mem)}
}

// Add returns r+o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.GPU + o.GPU, r.Mem + o.Mem}
}

// Sub returns r-o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.GPU - o.GPU, r.Mem - o.Mem}
}

// Times returns n*r.
func (r Resources) Times(n int64) Resources { return Resources{r.CPU * n, r.GPU * n, r.Mem * n} }

// Fits tells whether r fits into room.
func (r Resources) Fits(capacity Resources) bool {
	return r.CPU <= capacity.CPU && r.GPU <= capacity.GPU && r.Mem <= capacity.Mem
}

// Count tells how many requests of size r fit into room.
func (r Resources) Count(capacity Resources) int64 {
	count := int64(math.MaxInt64)
	for _, pair := range [3][2]int64{{r.CPU, capacity.CPU}, {r.GPU, capacity.GPU}, {r.Mem, capacity.Mem}} {
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
	BestEffort             bool          // no aim is stated for its class, and its team has no guarantee
	SubmittedMS            int64         // time of day at acceptance; ordering and deadlines only, never a rule
}

// Allows tells whether the job's tasks may run on such a machine.
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

// Task names one task of a job.
type Task struct {
	Job   JobID
	Index int32
}

// Compare orders tasks by job, then by number.
func (t Task) Compare(o Task) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), cmp.Compare(t.Index, o.Index))
}

// Machine is what is fixed about a machine.
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

// Stage of an attempt on a machine.
type Stage uint8

// Stages of an attempt.
const (
	Fetching Stage = iota
	Running
	Saving
	Exited
)

// Cause of an attempt's exit.
type Cause uint8

// Causes of an exit.
const (
	CauseOther Cause = iota
	CauseDone
	CauseStopped
	CauseError
	CauseNoCapacity
	CauseBusy
	CauseUnknown
)

// AttemptStatus is one attempt in a worker's report.
type AttemptStatus struct {
	Task    Task
	Attempt uint64
	Stage   Stage
	Cause   Cause
	Saved   bool
}

// Report is a worker's account of itself.
type Report struct {
	Machine          Machine // Cap and FetchRate are not filled in
	Session          uint64
	Seq              uint64
	Token            uint64
	PreemptionNotice time.Duration // until the cloud takes the machine; <0: no notice
	Attempts         []AttemptStatus
}

// MessageID order a worker's messages.
type MessageID struct{ Session, Seq uint64 }

// AtLeast tells whether a message with these numbers is as new as another one.
func (n MessageID) AtLeast(o MessageID) bool {
	return n.Session > o.Session || n.Session == o.Session && n.Seq >= o.Seq
}

// Newer orders messages of one worker.
func (r *Report) Newer(session, seq uint64) bool {
	return !(MessageID{session, seq}).AtLeast(r.MessageID())
}

// MessageID of the report.
func (r *Report) MessageID() MessageID { return MessageID{r.Session, r.Seq} }

// Verb of a command.
type Verb uint8

// Verbs.
const (
	Launch Verb = iota
	Kill
	Clear
)

// Command tells a worker what to do with an attempt.
type Command struct {
	Verb    Verb
	Task    Task
	Attempt uint64
	Grace   time.Duration
}
