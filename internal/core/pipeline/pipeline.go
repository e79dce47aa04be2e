// Package pipeline is the leader's picture of which open jobs await which: when a
// job may begin, when it is cancelled with one that it needs, and what it inherits
// from the jobs that need it. It is a state machine without input or output; times
// are the steady clock's.
//
// Nothing of it is stored beside the jobs' own records: an open record names what its
// job awaits, and a final record never changes. So any leader comes to the same
// picture, and a cancellation that went half way through a tree goes on.
//
// What an input costs follows the edges that it touches, not the open jobs.
package pipeline

import (
	"maps"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// FinalState is what became of a job that is no longer open.
type FinalState uint8

// Ends.
const (
	Unknown   FinalState = iota // its final record is to be read
	Done                        // by its final record
	Cancelled                   // by its final record
	Absent                      // it has neither record: it is not open yet, as far as is known
)

// retry is when what could not be told is asked again.
const retry = time.Second

// Job is an open job as the graph takes it.
type Job struct {
	ID           model.JobID
	Rank         model.Rank
	HasObjective bool // its users state an aim for its class, or its team has a guarantee
	DependsOn    []model.JobID
}

// Release tells that the last job that a job needs is done.
type Release struct {
	ID model.JobID
	// LastEndMS is the time of day of the latest end that the records tell; 0: none does.
	LastEndMS int64
	// NeverStarted: one of the jobs that it needs was seen open by this graph, so that no
	// earlier leader can have begun it.
	NeverStarted bool
}

// Inherited is what a job has from those that need it: the highest rank, and an aim.
type Inherited struct {
	ID           model.JobID
	Rank         model.Rank
	HasObjective bool
}

type node struct {
	Job
	open    bool
	seen    bool // it was open while this graph looked on
	needs   map[model.JobID]*node
	after   map[model.JobID]*node // open jobs that await it
	ranks   [model.Prod + 1]int32 // of after, as inherited: how many of each
	aims    int32                 // of after
	rank    model.Rank            // inherited
	aimed   bool                  // inherited
	doomed  bool                  // it is to be cancelled, or was
	sending bool
	due     time.Duration // a question or a cancellation may be sent
	since   time.Duration // it is behind since
	atMS    int64
	fresh   bool
}

// Graph is the state machine.
type Graph struct {
	nodes    map[model.JobID]*node
	unknown  map[model.JobID]*node // to be asked about
	doomed   map[model.JobID]*node // to be cancelled
	changed  map[model.JobID]*node // inherit something else
	released []Release
}

// New returns an empty graph.
func New() *Graph {
	return &Graph{nodes: map[model.JobID]*node{}, unknown: map[model.JobID]*node{},
		doomed: map[model.JobID]*node{}, changed: map[model.JobID]*node{}}
}

func (g *Graph) node(id model.JobID) *node {
	n := g.nodes[id]
	if n == nil {
		n = &node{Job: Job{ID: id}, after: map[model.JobID]*node{}}
		g.nodes[id] = n
	}
	return n
}

// Add takes an open job. held tells that it may not begin yet: Released or Doomed
// will name it. What it awaits and nobody added counts as ended, in a way that is to
// be asked about; since is when its end may have been told at the earliest.
func (g *Graph) Add(j Job, since time.Duration) (held bool) {
	n := g.node(j.ID)
	if n.open {
		return len(n.needs) > 0
	}
	n.Job, n.open, n.seen = j, true, true
	delete(g.unknown, j.ID)
	n.rank, n.aimed = j.Rank, j.HasObjective
	g.inherit(n)
	for _, id := range j.DependsOn {
		p := g.node(id)
		if n.needs == nil {
			n.needs = map[model.JobID]*node{}
		}
		n.needs[id] = p
		p.after[j.ID] = n
		g.count(p, n.rank, n.aimed, 1)
		switch {
		case p.doomed:
			g.doom(n, since)
		case !p.open && g.unknown[id] == nil:
			p.since = since
			g.unknown[id] = p
		}
	}
	return len(n.needs) > 0
}

// JobEnded takes the news that a job is no longer open.
func (g *Graph) JobEnded(id model.JobID, e FinalState, since time.Duration) {
	n := g.nodes[id]
	if n == nil {
		return
	}
	if n.open {
		n.open = false
		delete(g.doomed, id)
		delete(g.changed, id)
		for _, p := range n.needs {
			g.leave(p, n)
		}
		n.needs = nil
	}
	if e == Unknown && n.doomed {
		e = Cancelled // it was never let begin
	}
	if e == Unknown && len(n.after) > 0 {
		n.since = since
		g.unknown[id] = n
		return
	}
	g.tell(n, e, 0, since)
}

// leave takes a job from those that await p.
func (g *Graph) leave(p, n *node) {
	delete(p.after, n.ID)
	g.count(p, n.rank, n.aimed, -1)
	g.tidy(p)
}

// tidy forgets an ended job that nobody awaits.
func (g *Graph) tidy(n *node) {
	if !n.open && len(n.after) == 0 {
		delete(g.nodes, n.ID)
		delete(g.unknown, n.ID)
	}
}

// tell settles how a job ended with all that await it.
func (g *Graph) tell(n *node, e FinalState, atMS int64, since time.Duration) {
	delete(g.unknown, n.ID)
	// A cancelled one stays for as long as somebody awaits it: who comes later and
	// names it is doomed too.
	n.doomed = n.doomed || e == Cancelled
	for _, id := range slices.Sorted(maps.Keys(n.after)) {
		b := n.after[id]
		if e == Cancelled {
			g.doom(b, since)
			continue
		}
		delete(b.needs, n.ID)
		b.atMS, b.fresh = max(b.atMS, atMS), b.fresh || n.seen
		if len(b.needs) == 0 && !b.doomed {
			g.released = append(g.released, Release{ID: b.ID, LastEndMS: b.atMS, NeverStarted: b.fresh})
		}
	}
	if e == Done {
		clear(n.after)
	}
	g.tidy(n)
}

// doom marks a job, and all that need it, to be cancelled.
func (g *Graph) doom(n *node, since time.Duration) {
	for todo := []*node{n}; len(todo) > 0; {
		n := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if n.doomed || !n.open {
			continue
		}
		n.doomed, n.since = true, since
		g.doomed[n.ID] = n
		for _, b := range n.after {
			todo = append(todo, b)
		}
	}
}

// NextLookups returns at most n ended jobs whose final record is to be read. Each comes back
// through Told.
func (g *Graph) NextLookups(now time.Duration, n int) []model.JobID { return take(g.unknown, now, n) }

// LookupDone takes what a final record tells, with the time of day of the end (0: it does
// not tell). Unknown: the question failed.
func (g *Graph) LookupDone(now time.Duration, id model.JobID, e FinalState, atMS int64) {
	n := g.unknown[id]
	if n == nil {
		return
	}
	n.sending = false
	if e == Unknown || e == Absent {
		n.due = now + retry
		return
	}
	g.tell(n, e, atMS, n.since)
}

// NextCancellations returns at most n jobs to be cancelled now. Each comes back through Ended,
// or through Kept if it could not be.
func (g *Graph) NextCancellations(now time.Duration, n int) []model.JobID {
	return take(g.doomed, now, n)
}

// CancellationFailed takes the news that a job could not be cancelled yet.
func (g *Graph) CancellationFailed(now time.Duration, id model.JobID) {
	if n := g.doomed[id]; n != nil {
		n.sending, n.due = false, now+retry/4
	}
}

func take(from map[model.JobID]*node, now time.Duration, n int) []model.JobID {
	var out []model.JobID
	for id, x := range from {
		if !x.sending && now >= x.due {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	out = out[:min(len(out), max(0, n))]
	for _, id := range out {
		from[id].sending = true
	}
	return out
}

// TakeReleased takes away the jobs that may begin.
func (g *Graph) TakeReleased() []Release {
	out := g.released
	g.released = nil
	return slices.DeleteFunc(out, func(r Release) bool {
		n := g.nodes[r.ID]
		return n == nil || !n.open || n.doomed
	})
}

// PropagatedUntil is the earliest moment at which an end may have been told that has not gone
// through to all that need the job; now if there is none.
func (g *Graph) PropagatedUntil(now time.Duration) time.Duration {
	at := now
	for _, set := range []map[model.JobID]*node{g.unknown, g.doomed} {
		for _, n := range set {
			at = min(at, n.since)
		}
	}
	return at
}

// Counts tells how many open jobs await others, how many ends are to be asked about,
// and how many jobs are to be cancelled.
func (g *Graph) Counts() (awaiting, unknown, doomed int) {
	for _, n := range g.nodes {
		if n.open && len(n.needs) > 0 {
			awaiting++
		}
	}
	return awaiting, len(g.unknown), len(g.doomed)
}

// TakeInherited takes away what jobs inherit now, where that is something else than before.
func (g *Graph) TakeInherited() []Inherited {
	if len(g.changed) == 0 {
		return nil
	}
	out := make([]Inherited, 0, len(g.changed))
	for _, id := range slices.Sorted(maps.Keys(g.changed)) {
		n := g.changed[id]
		out = append(out, Inherited{ID: id, Rank: n.rank, HasObjective: n.aimed})
	}
	clear(g.changed)
	return out
}

// count notes that one more (or less) of those that await n has a rank and an aim.
func (g *Graph) count(n *node, r model.Rank, aimed bool, by int32) {
	n.ranks[r] += by
	if aimed {
		n.aims += by
	}
	g.inherit(n)
}

// inherit works out what a job has from those that need it, and passes a change on to
// those that it needs.
func (g *Graph) inherit(n *node) {
	if !n.open {
		return
	}
	rank, aimed := n.Rank, n.HasObjective || n.aims > 0
	for r := model.Prod; r > rank; r-- {
		if n.ranks[r] > 0 {
			rank = r
		}
	}
	if rank == n.rank && aimed == n.aimed {
		return
	}
	wasRank, wasAimed := n.rank, n.aimed
	n.rank, n.aimed = rank, aimed
	g.changed[n.ID] = n
	for _, p := range n.needs {
		p.ranks[wasRank]--
		p.ranks[rank]++
		if aimed != wasAimed {
			if aimed {
				p.aims++
			} else {
				p.aims--
			}
		}
		g.inherit(p)
	}
}
