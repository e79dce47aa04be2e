package node

import (
	"net/http"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
)

// final answers from the bounded cache of final states, which never change.
func (n *Node) final(id model.JobID) (jobs.Stage, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	st, ok := n.finals[id]
	return st, ok
}

// tellEnd notes how a job is stored to have ended, before a user is told here.
func (n *Node) tellEnd(id model.JobID, st jobs.Stage) {
	if st == jobs.Cancelled {
		n.mu.Lock()
		now := n.now()
		n.told.Acknowledge(now, id)
		if n.lead != nil && n.lead.loaded {
			n.lead.deals.cancelled(now, id)
		}
		n.mu.Unlock()
	}
	n.keepFinal(id, st)
}

func (n *Node) keepFinal(id model.JobID, st jobs.Stage) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cacheFinal(id, st)
}

// cacheFinal keeps a final state. Called under the lock.
func (n *Node) cacheFinal(id model.JobID, st jobs.Stage) {
	delete(n.versions, id)
	if _, ok := n.finals[id]; ok {
		return
	}
	if len(n.order) >= maxFinals {
		delete(n.finals, n.order[0])
		n.order = n.order[1:]
	}
	n.finals[id] = st
	n.order = append(n.order, id)
}

// notOlder gives an answer that was found while this controller has told another user of the
// job's end as that end: the two may leave in either order.
func (n *Node) notOlder(id model.JobID, r Reply) Reply {
	if r.State == nil || jobs.Stage(r.State.Stage).Ended() {
		return r
	}
	if st, ok := n.final(id); ok {
		return n.stateReply(http.StatusOK, id, st)
	}
	return r
}
