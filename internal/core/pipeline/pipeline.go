// Package pipeline is the leader's graph of the dependencies between open jobs. It decides when a job
// may begin, when a job is cancelled because a job that it depends on was cancelled, and which rank a
// job inherits from the jobs that depend on it. It is a state machine without input or output; its
// times are those of the monotonic clock.
//
// The graph itself is not stored. A job's open record names its dependencies, and a final record never
// changes, so every leader builds the same graph from the records. A new leader therefore continues a
// cancellation that had reached only some of the dependents.
//
// The cost of an input depends on the edges that it touches, not on the number of open jobs.
package pipeline

import (
	"maps"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// FinalState says how a job that is no longer open ended.
type FinalState uint8

// Final states.
const (
	Unknown   FinalState = iota // its final record must be read
	Done                        // as its final record says
	Cancelled                   // as its final record says
	Absent                      // it has no record: it is not open yet, as far as is known
)

// lookupRetry is how long to wait before a failed lookup is repeated.
const lookupRetry = time.Second

// Job is an open job.
type Job struct {
	ID           model.JobID
	Rank         model.Rank
	HasObjective bool          // its class has an objective for when jobs begin, or its team has a guarantee
	DependsOn    []model.JobID // jobs that must be done before it begins
}

// Release says that all dependencies of a job are done.
type Release struct {
	ID model.JobID
	// LastEndMS is the time of day at which the last dependency ended, by the final records that were
	// read; 0: not known.
	LastEndMS int64
	// NeverStarted is set if this graph saw one of the dependencies open, so that no earlier leader
	// can have started the job.
	NeverStarted bool
}

// Inherited is a job's effective priority: the highest rank among the job and its dependents, and
// whether one of them has an objective.
type Inherited struct {
	ID           model.JobID
	Rank         model.Rank
	HasObjective bool
}

// node is a job in the graph: an open job, or an ended one that open jobs depend on.
type node struct {
	Job
	open                bool
	observedOpen        bool                  // this graph saw the job open
	dependencies        map[model.JobID]*node // those not known to be done
	dependents          map[model.JobID]*node // open jobs that depend on it
	dependentRanks      [model.Prod + 1]int32 // number of dependents by effective rank
	dependentObjectives int32                 // number of dependents with an effective objective
	effectiveRank       model.Rank            // highest of its own and its dependents'
	effectiveObjective  bool                  // it or a dependent has an objective
	cancelPending       bool                  // it must be cancelled, or has been
	behindSince         time.Duration         // earliest time at which its or a dependency's end may be reported
	lastEndMS           int64                 // see Release
	neverStarted        bool                  // see Release
}

// Graph is the state machine.
type Graph struct {
	nodes            map[model.JobID]*node
	lookups          requestQueue          // ended jobs whose final state must be looked up
	cancellations    requestQueue          // open jobs that must be cancelled
	inheritedChanged map[model.JobID]*node // jobs to be returned by TakeInherited
	released         []Release             // jobs to be returned by TakeReleased
}

// New returns an empty graph.
func New() *Graph {
	return &Graph{nodes: map[model.JobID]*node{}, lookups: newRequestQueue(), cancellations: newRequestQueue(),
		inheritedChanged: map[model.JobID]*node{}}
}

// node returns the job's node, and adds it if there is none.
func (g *Graph) node(id model.JobID) *node {
	n := g.nodes[id]
	if n == nil {
		n = &node{Job: Job{ID: id}, dependents: map[model.JobID]*node{}}
		g.nodes[id] = n
	}
	return n
}

// Add adds an open job. It returns true if the job may not begin yet: it will come up in TakeReleased
// or NextCancellations. A dependency that is not in the graph is taken as ended, with a final state
// that must be looked up; since is the earliest time at which its end may have been reported.
func (g *Graph) Add(j Job, since time.Duration) (blocked bool) {
	n := g.node(j.ID)
	if n.open {
		return len(n.dependencies) > 0
	}
	n.Job, n.open, n.observedOpen = j, true, true
	g.lookups.remove(j.ID)
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
		case !dependency.open && !g.lookups.contains(id):
			dependency.behindSince = since
			g.lookups.add(dependency)
		}
	}
	return len(n.dependencies) > 0
}

// JobEnded records that a job is no longer open. If its final state is Unknown and jobs depend on it,
// the state must be looked up.
func (g *Graph) JobEnded(id model.JobID, final FinalState, since time.Duration) {
	g.cancellations.finished(id)
	n := g.nodes[id]
	if n == nil {
		return
	}
	if n.open {
		n.open = false
		g.cancellations.remove(id)
		delete(g.inheritedChanged, id)
		for _, dependency := range n.dependencies {
			g.removeDependent(dependency, n)
		}
		n.dependencies = nil
	}
	if final == Unknown && n.cancelPending {
		final = Cancelled // it was never allowed to begin
	}
	if final == Unknown && len(n.dependents) > 0 {
		n.behindSince = since
		g.lookups.add(n)
		return
	}
	g.resolveEnd(n, final, 0, since)
}

// removeDependent removes a job from the dependents of a job that it depended on.
func (g *Graph) removeDependent(dependency, dependent *node) {
	delete(dependency.dependents, dependent.ID)
	g.countDependent(dependency, dependent.effectiveRank, dependent.effectiveObjective, -1)
	g.forgetIfUnused(dependency)
}

// forgetIfUnused drops an ended job without dependents.
func (g *Graph) forgetIfUnused(n *node) {
	if !n.open && len(n.dependents) == 0 {
		delete(g.nodes, n.ID)
		g.lookups.remove(n.ID)
	}
}

// resolveEnd applies a job's final state to its dependents: they are released if it was their last
// dependency, or marked for cancellation.
func (g *Graph) resolveEnd(n *node, final FinalState, atMS int64, since time.Duration) {
	g.lookups.remove(n.ID)
	// A cancelled job stays while it has dependents: a job that is added later and depends on it must
	// be cancelled too.
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

// markCancelPending marks an open job and all its direct and indirect dependents for cancellation.
func (g *Graph) markCancelPending(n *node, since time.Duration) {
	for todo := []*node{n}; len(todo) > 0; {
		n := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if n.cancelPending || !n.open {
			continue
		}
		n.cancelPending, n.behindSince = true, since
		g.cancellations.add(n)
		for _, dependent := range n.dependents {
			todo = append(todo, dependent)
		}
	}
}

// NextLookups returns at most limit ended jobs whose final record must be read. The outcome of each
// goes to LookupDone.
func (g *Graph) NextLookups(now time.Duration, limit int) []model.JobID {
	return g.lookups.next(now, limit)
}

// LookupDone takes the final state that a lookup found, with the time of day of the job's end (0: not
// known). After Unknown (the lookup failed) or Absent the lookup is repeated later.
func (g *Graph) LookupDone(now time.Duration, id model.JobID, final FinalState, atMS int64) {
	g.lookups.finished(id)
	n := g.lookups.nodes[id]
	if n == nil {
		return
	}
	if final == Unknown || final == Absent {
		g.lookups.retryAt(id, now+lookupRetry)
		return
	}
	g.resolveEnd(n, final, atMS, n.behindSince)
}

// NextCancellations returns at most limit jobs that must be cancelled now. The outcome of each goes to
// JobEnded, or to CancellationFailed.
func (g *Graph) NextCancellations(now time.Duration, limit int) []model.JobID {
	return g.cancellations.next(now, limit)
}

// CancellationFailed records that a job could not be cancelled. It is tried again soon.
func (g *Graph) CancellationFailed(now time.Duration, id model.JobID) {
	g.cancellations.finished(id)
	g.cancellations.retryAt(id, now+lookupRetry/4)
}

// TakeReleased returns and clears the jobs that may begin now. Jobs that have ended or
// must be cancelled meanwhile are left out.
func (g *Graph) TakeReleased() []Release {
	out := g.released
	g.released = nil
	return slices.DeleteFunc(out, func(r Release) bool {
		n := g.nodes[r.ID]
		return n == nil || !n.open || n.cancelPending
	})
}

// PropagatedUntil returns the time until which all reported ends of jobs have been applied to all
// dependents. If some have not been applied, it is the earliest time at which one of these may have
// been reported; otherwise it is now.
func (g *Graph) PropagatedUntil(now time.Duration) time.Duration {
	at := now
	for _, queue := range []*requestQueue{&g.lookups, &g.cancellations} {
		for _, n := range queue.nodes {
			at = min(at, n.behindSince)
		}
	}
	return at
}

// Counts returns the number of open jobs with unfinished dependencies, of ended jobs that must be
// looked up, and of jobs that must be cancelled.
func (g *Graph) Counts() (blocked, unresolved, cancelPending int) {
	for _, n := range g.nodes {
		if n.open && len(n.dependencies) > 0 {
			blocked++
		}
	}
	return blocked, len(g.lookups.nodes), len(g.cancellations.nodes)
}

// TakeInherited returns and clears the jobs whose effective priority has changed.
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

// countDependent adds delta (1 or -1) to the number of n's dependents with the rank, and with an
// objective if it is set.
func (g *Graph) countDependent(n *node, rank model.Rank, objective bool, delta int32) {
	n.dependentRanks[rank] += delta
	if objective {
		n.dependentObjectives += delta
	}
	g.updateInherited(n)
}

// updateInherited recomputes a job's effective rank and objective from its dependents, and passes a
// change on to its own dependencies.
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
