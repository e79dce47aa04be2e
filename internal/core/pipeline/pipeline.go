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

// lookupRetry is when what could not be told is asked again.
const lookupRetry = time.Second

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
	open                bool
	observedOpen        bool // it was open while this graph looked on
	dependencies        map[model.JobID]*node
	dependents          map[model.JobID]*node // open jobs that await it
	dependentRanks      [model.Prod + 1]int32 // of after, as inherited: how many of each
	dependentObjectives int32                 // of after
	effectiveRank       model.Rank            // inherited
	effectiveObjective  bool                  // inherited
	cancelPending       bool                  // it is to be cancelled, or was
	inFlight            bool
	notBefore           time.Duration // a question or a cancellation may be sent
	behindSince         time.Duration // it is behind since
	lastEndMS           int64
	neverStarted        bool
}

// Graph is the state machine.
type Graph struct {
	nodes            map[model.JobID]*node
	unresolved       map[model.JobID]*node // to be asked about
	toCancel         map[model.JobID]*node // to be cancelled
	inheritedChanged map[model.JobID]*node // inherit something else
	released         []Release
}

// New returns an empty graph.
func New() *Graph {
	return &Graph{nodes: map[model.JobID]*node{}, unresolved: map[model.JobID]*node{},
		toCancel: map[model.JobID]*node{}, inheritedChanged: map[model.JobID]*node{}}
}

func (g *Graph) node(id model.JobID) *node {
	n := g.nodes[id]
	if n == nil {
		n = &node{Job: Job{ID: id}, dependents: map[model.JobID]*node{}}
		g.nodes[id] = n
	}
	return n
}

// Add takes an open job. held tells that it may not begin yet: Released or Doomed
// will name it. What it awaits and nobody added counts as ended, in a way that is to
// be asked about; since is when its end may have been told at the earliest.
func (g *Graph) Add(j Job, since time.Duration) (blocked bool) {
	n := g.node(j.ID)
	if n.open {
		return len(n.dependencies) > 0
	}
	n.Job, n.open, n.observedOpen = j, true, true
	delete(g.unresolved, j.ID)
	n.effectiveRank, n.effectiveObjective = j.Rank, j.HasObjective
	g.updateInherited(n)
	for _, id := range j.DependsOn {
		dependency := g.node(id)
		if n.dependencies == nil {
			n.dependencies = map[model.JobID]*node{}
		}
		n.dependencies[id] = dependency
		dependency.dependents[j.ID] = n
		g.countDependent(dependency, n.effectiveRank, n.effectiveObjective, 1)
		switch {
		case dependency.cancelPending:
			g.markCancelPending(n, since)
		case !dependency.open && g.unresolved[id] == nil:
			dependency.behindSince = since
			g.unresolved[id] = dependency
		}
	}
	return len(n.dependencies) > 0
}

// JobEnded takes the news that a job is no longer open.
func (g *Graph) JobEnded(id model.JobID, final FinalState, since time.Duration) {
	n := g.nodes[id]
	if n == nil {
		return
	}
	if n.open {
		n.open = false
		delete(g.toCancel, id)
		delete(g.inheritedChanged, id)
		for _, dependency := range n.dependencies {
			g.removeDependent(dependency, n)
		}
		n.dependencies = nil
	}
	if final == Unknown && n.cancelPending {
		final = Cancelled // it was never let begin
	}
	if final == Unknown && len(n.dependents) > 0 {
		n.behindSince = since
		g.unresolved[id] = n
		return
	}
	g.resolveEnd(n, final, 0, since)
}

// removeDependent takes a job from those that await p.
func (g *Graph) removeDependent(dependency, n *node) {
	delete(dependency.dependents, n.ID)
	g.countDependent(dependency, n.effectiveRank, n.effectiveObjective, -1)
	g.forgetIfUnused(dependency)
}

// forgetIfUnused forgets an ended job that nobody awaits.
func (g *Graph) forgetIfUnused(n *node) {
	if !n.open && len(n.dependents) == 0 {
		delete(g.nodes, n.ID)
		delete(g.unresolved, n.ID)
	}
}

// resolveEnd settles how a job ended with all that await it.
func (g *Graph) resolveEnd(n *node, final FinalState, atMS int64, since time.Duration) {
	delete(g.unresolved, n.ID)
	// A cancelled one stays for as long as somebody awaits it: who comes later and
	// names it is doomed too.
	n.cancelPending = n.cancelPending || final == Cancelled
	for _, id := range slices.Sorted(maps.Keys(n.dependents)) {
		dependent := n.dependents[id]
		if final == Cancelled {
			g.markCancelPending(dependent, since)
			continue
		}
		delete(dependent.dependencies, n.ID)
		dependent.lastEndMS, dependent.neverStarted = max(dependent.lastEndMS, atMS), dependent.neverStarted || n.observedOpen
		if len(dependent.dependencies) == 0 && !dependent.cancelPending {
			g.released = append(g.released, Release{ID: dependent.ID, LastEndMS: dependent.lastEndMS,
				NeverStarted: dependent.neverStarted})
		}
	}
	if final == Done {
		clear(n.dependents)
	}
	g.forgetIfUnused(n)
}

// markCancelPending marks a job, and all that need it, to be cancelled.
func (g *Graph) markCancelPending(n *node, since time.Duration) {
	for todo := []*node{n}; len(todo) > 0; {
		n := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if n.cancelPending || !n.open {
			continue
		}
		n.cancelPending, n.behindSince = true, since
		g.toCancel[n.ID] = n
		for _, dependent := range n.dependents {
			todo = append(todo, dependent)
		}
	}
}

// NextLookups returns at most n ended jobs whose final record is to be read. Each comes back
// through Told.
func (g *Graph) NextLookups(now time.Duration, limit int) []model.JobID {
	return takeDue(g.unresolved, now, limit)
}

// LookupDone takes what a final record tells, with the time of day of the end (0: it does
// not tell). Unknown: the question failed.
func (g *Graph) LookupDone(now time.Duration, id model.JobID, final FinalState, atMS int64) {
	n := g.unresolved[id]
	if n == nil {
		return
	}
	n.inFlight = false
	if final == Unknown || final == Absent {
		n.notBefore = now + lookupRetry
		return
	}
	g.resolveEnd(n, final, atMS, n.behindSince)
}

// NextCancellations returns at most n jobs to be cancelled now. Each comes back through Ended,
// or through Kept if it could not be.
func (g *Graph) NextCancellations(now time.Duration, limit int) []model.JobID {
	return takeDue(g.toCancel, now, limit)
}

// CancellationFailed takes the news that a job could not be cancelled yet.
func (g *Graph) CancellationFailed(now time.Duration, id model.JobID) {
	if n := g.toCancel[id]; n != nil {
		n.inFlight, n.notBefore = false, now+lookupRetry/4
	}
}

func takeDue(from map[model.JobID]*node, now time.Duration, limit int) []model.JobID {
	var out []model.JobID
	for id, node := range from {
		if !node.inFlight && now >= node.notBefore {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	out = out[:min(len(out), max(0, limit))]
	for _, id := range out {
		from[id].inFlight = true
	}
	return out
}

// TakeReleased takes away the jobs that may begin.
func (g *Graph) TakeReleased() []Release {
	out := g.released
	g.released = nil
	return slices.DeleteFunc(out, func(r Release) bool {
		n := g.nodes[r.ID]
		return n == nil || !n.open || n.cancelPending
	})
}

// PropagatedUntil is the earliest moment at which an end may have been told that has not gone
// through to all that need the job; now if there is none.
func (g *Graph) PropagatedUntil(now time.Duration) time.Duration {
	at := now
	for _, set := range []map[model.JobID]*node{g.unresolved, g.toCancel} {
		for _, n := range set {
			at = min(at, n.behindSince)
		}
	}
	return at
}

// Counts tells how many open jobs await others, how many ends are to be asked about,
// and how many jobs are to be cancelled.
func (g *Graph) Counts() (blocked, unresolved, cancelPending int) {
	for _, n := range g.nodes {
		if n.open && len(n.dependencies) > 0 {
			blocked++
		}
	}
	return blocked, len(g.unresolved), len(g.toCancel)
}

// TakeInherited takes away what jobs inherit now, where that is something else than before.
func (g *Graph) TakeInherited() []Inherited {
	if len(g.inheritedChanged) == 0 {
		return nil
	}
	out := make([]Inherited, 0, len(g.inheritedChanged))
	for _, id := range slices.Sorted(maps.Keys(g.inheritedChanged)) {
		n := g.inheritedChanged[id]
		out = append(out, Inherited{ID: id, Rank: n.effectiveRank, HasObjective: n.effectiveObjective})
	}
	clear(g.inheritedChanged)
	return out
}

// countDependent notes that one more (or less) of those that await n has a rank and an aim.
func (g *Graph) countDependent(n *node, rank model.Rank, objective bool, delta int32) {
	n.dependentRanks[rank] += delta
	if objective {
		n.dependentObjectives += delta
	}
	g.updateInherited(n)
}

// updateInherited works out what a job has from those that need it, and passes a change on to
// those that it needs.
func (g *Graph) updateInherited(n *node) {
	if !n.open {
		return
	}
	rank, objective := n.Rank, n.HasObjective || n.dependentObjectives > 0
	for r := model.Prod; r > rank; r-- {
		if n.dependentRanks[r] > 0 {
			rank = r
		}
	}
	if rank == n.effectiveRank && objective == n.effectiveObjective {
		return
	}
	oldRank, hadObjective := n.effectiveRank, n.effectiveObjective
	n.effectiveRank, n.effectiveObjective = rank, objective
	g.inheritedChanged[n.ID] = n
	for _, dependency := range n.dependencies {
		dependency.dependentRanks[oldRank]--
		dependency.dependentRanks[rank]++
		if objective != hadObjective {
			if objective {
				dependency.dependentObjectives++
			} else {
				dependency.dependentObjectives--
			}
		}
		g.updateInherited(dependency)
	}
}
