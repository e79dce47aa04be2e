package node

import (
	"net/http"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
)

// cachedFinal returns a job's final stage if it is in the bounded cache. Final stages never change.
func (n *Node) cachedFinal(id model.JobID) (jobs.Stage, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	stage, ok := n.cachedFinals[id]
	return stage, ok
}

// recordEnd records that a job has ended, as its final record says, before this controller reports
// that to a user. A cancellation also goes into the log that all controllers exchange, and on the
// leader it is applied at once.
func (n *Node) recordEnd(id model.JobID, stage jobs.Stage) {
	if stage == jobs.Cancelled {
		n.mu.Lock()
		now := n.now()
		n.cancelLog.Acknowledge(now, id)
		if n.lead != nil && n.lead.loaded {
			n.lead.dispatchLoop.applyCancellation(now, id)
		}
		n.mu.Unlock()
	}
	n.addFinal(id, stage)
}

// addFinal adds a job's final stage to the cache.
func (n *Node) addFinal(id model.JobID, stage jobs.Stage) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addFinalLocked(id, stage)
}

// addFinalLocked is addFinal for callers that hold the lock. The oldest entry leaves a full cache.
func (n *Node) addFinalLocked(id model.JobID, stage jobs.Stage) {
	delete(n.openRecords, id)
	if _, ok := n.cachedFinals[id]; ok {
		return
	}
	if len(n.finalOrder) >= maxCachedJobs {
		delete(n.cachedFinals, n.finalOrder[0])
		n.finalOrder = n.finalOrder[1:]
	}
	n.cachedFinals[id] = stage
	n.finalOrder = append(n.finalOrder, id)
}

// preferFinal replaces a reply with an open state by one with the final state, if this controller has
// learned meanwhile that the job ended. It may have reported that to another user already, and the
// two replies may be sent in either order.
func (n *Node) preferFinal(id model.JobID, r Reply) Reply {
	if r.State == nil || jobs.Stage(r.State.Stage).Ended() {
		return r
	}
	if stage, ok := n.cachedFinal(id); ok {
		return n.stateReply(http.StatusOK, id, stage)
	}
	return r
}
