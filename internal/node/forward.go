package node

import (
	"context"
	"io"
	"net/http"

	"github.com/segmentio/encoding/json"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
	"honeylock/internal/core/storehealth"
	"honeylock/internal/exactjson"
	"honeylock/internal/peer"
	"honeylock/internal/wire"
)

// A controller that the state service refuses, or that is cut off from it, forwards users' requests to
// another controller that the service still answers. Otherwise all of them would fail until the load
// balancer notices, and those on connections that stay open even after that.

// forwardedRequest is a user's request that is forwarded to another controller.
type forwardedRequest struct {
	Kind jobs.Kind
	Job  model.JobID
	Sub  *wire.Submission
}

// forwardTarget returns the address of another controller that the state service serves, "" if none
// is known. preferred is set if this controller could not reach the state service for a while, so that
// requests should be forwarded without trying here first.
func (n *Node) forwardTarget() (addr string, preferred bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	preferred = n.health.stateUnreachable(now)
	if n.lead != nil {
		for _, memberLink := range n.lead.links {
			if now-memberLink.stateServedAt < storehealth.UnreachableAfter {
				return n.siblingAddr(memberLink.host), preferred
			}
		}
	} else if n.leader != "" && now-n.leaderStateServedAt < storehealth.UnreachableAfter {
		return n.siblingAddr(n.leader), preferred
	}
	return "", preferred
}

// forward forwards a request to another controller, and caches the job's final state if the reply
// has one. It returns false if there was no reply.
func (n *Node) forward(ctx context.Context, addr string, kind jobs.Kind, id model.JobID,
	sub *wire.Submission) (Reply, bool) {
	var r Reply
	if err := n.dialer.Forward(ctx, addr, peer.UserPath, forwardedRequest{Kind: kind, Job: id, Sub: sub}, &r); err != nil {
		n.log.Debug("user's request not forwarded to another controller", "job", wire.JobName(id), "err", err)
		return r, false
	}
	if r.Status == http.StatusOK && r.State != nil && jobs.Stage(r.State.Stage).Ended() {
		n.addFinal(id, jobs.Stage(r.State.Stage))
	}
	return n.preferFinal(id, r), true
}

// serveForwarded answers a user's request that another controller forwarded. It is not forwarded
// again.
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

// readPeerRequest decodes the body of a request that another controller forwarded. If it can't, it
// answers with 400 and returns false.
func readPeerRequest(w http.ResponseWriter, r *http.Request, v any) bool {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 128<<10))
	if err == nil {
		err = exactjson.Unmarshal(b, v)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
	return err == nil
}

// writePeerReply sends the answer to a request that another controller forwarded.
func (n *Node) writePeerReply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		n.log.Debug("answer to a forwarded request not sent", "err", err)
	}
}
