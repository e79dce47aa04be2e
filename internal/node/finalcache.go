package node

import (
	"net/http"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
)

// cachedFinal answers from the bounded cache of cachedFinal states, which never change.
func (n *Node) cachedFinal(id model.JobID) (jobs.Stage, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	stage, ok := n.cachedFinals[id]
	return stage, ok
}

// recordEnd notes how a job is stored to have ended, before a user is told here.
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

func (n *Node) addFinal(id model.JobID, stage jobs.Stage) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addFinalLocked(id, stage)
}

// addFinalLocked keeps a final state. Called under the lock.
func (n *Node) addFinalLocked(id model.JobID, stage jobs.Stage) {
	delete(n.openRecords, id)
	if _, ok := n.cachedFinals[id]; ok {
		return
	}
	if len(n.finalOrder) >= maxCachedFinals {
		delete(n.cachedFinals, n.finalOrder[0])
		n.finalOrder = n.finalOrder[1:]
	}
	n.cachedFinals[id] = stage
	n.finalOrder = append(n.finalOrder, id)
}

// preferFinal gives an answer that was found while this controller has told another user of the
// job's end as that end: the two may leave in either order.
func (n *Node) preferFinal(id model.JobID, r Reply) Reply {
	if r.State == nil || jobs.Stage(r.State.Stage).Ended() {
		return r
	}
	if stage, ok := n.cachedFinal(id); ok {
		return n.stateReply(http.StatusOK, id, stage)
	}
	return r
}
