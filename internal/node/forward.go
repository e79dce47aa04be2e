package node

import (
	"context"
	"io"
	"net/http"

	"github.com/segmentio/encoding/json"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
	"honeylock/internal/core/storehealth"
	"honeylock/internal/peer"
	"honeylock/internal/wire"
)

// A controller that the state service refuses, or that is cut off from it, while
// it answers a sibling passes users' requests on: until the load balancer has
// noticed, and for the connections that stay, they would all fail.

// forwardedRequest is a user's request passed on to a sibling.
type forwardedRequest struct {
	Kind jobs.Kind
	Job  model.JobID
	Sub  *wire.Submission
}

// forwardTarget is the address of a sibling that the state service answers, "" if none
// is known. first tells that it has not answered this controller for a while.
func (n *Node) forwardTarget() (addr string, preferred bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	preferred = n.health.stateUnserved(now)
	if n.lead != nil {
		for _, k := range n.lead.links {
			if now-k.stateServedAt < storehealth.UnreachableAfter {
				return n.siblingAddr(k.host), preferred
			}
		}
	} else if n.leader != "" && now-n.leaderStateServedAt < storehealth.UnreachableAfter {
		return n.siblingAddr(n.leader), preferred
	}
	return "", preferred
}

func (n *Node) forward(ctx context.Context, addr string, kind jobs.Kind, id model.JobID,
	sub *wire.Submission) (Reply, bool) {
	var r Reply
	if err := n.dialer.Forward(ctx, addr, peer.UserPath, forwardedRequest{Kind: kind, Job: id, Sub: sub}, &r); err != nil {
		n.log.Debug("request not passed on", "job", wire.JobName(id), "err", err)
		return r, false
	}
	if r.Status == http.StatusOK && r.State != nil && jobs.Stage(r.State.Stage).Ended() {
		n.addFinal(id, jobs.Stage(r.State.Stage))
	}
	return n.preferFinal(id, r), true
}

// serveForwarded answers what a sibling passes on; it is not passed on again.
func (n *Node) serveForwarded(w http.ResponseWriter, r *http.Request) {
	var request forwardedRequest
	if !readPeerRequest(w, r, &request) {
		return
	}
	if request.Kind == jobs.Submit && request.Sub == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n.writePeerReply(w, n.answerHere(r.Context(), request.Kind, request.Job, request.Sub))
}

// readPeerRequest reads what a sibling passes on; false tells that it can't be read, and
// that this was answered.
func readPeerRequest(w http.ResponseWriter, r *http.Request, v any) bool {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 128<<10))
	if err == nil {
		err = json.Unmarshal(b, v)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
	return err == nil
}

// writePeerReply passes an answer back to a sibling.
func (n *Node) writePeerReply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		n.log.Debug("answer not passed back", "err", err)
	}
}
