package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"honeylock/internal/cloud"
	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
	"honeylock/internal/wire"
)

// Reply is the answer to a user's request: an HTTP status with a job's state or an error.
type Reply struct {
	Status int
	State  *wire.JobState
	Err    string
	// RateLimited is set on a 503 whose only cause is that the state service's request rate is
	// exhausted.
	RateLimited bool `json:"OverRate,omitempty"`
}

// unavailable returns a 503 with the reason.
func unavailable(reason string) Reply {
	return Reply{Status: http.StatusServiceUnavailable, Err: reason}
}

// stateReply returns a reply with a job's stage, and for an open job with its last known progress.
func (n *Node) stateReply(status int, id model.JobID, stage jobs.Stage) Reply {
	s := &wire.JobState{NameID: wire.JobName(id), Stage: string(stage)}
	if !stage.Ended() {
		n.mu.Lock()
		if p, ok := n.progress[id]; ok {
			s.Done, s.Running = &p.done, &p.running
			if p.running > 0 {
				s.Stage = string(jobs.Running)
			}
		}
		n.mu.Unlock()
	}
	return Reply{Status: status, State: s}
}

// Submit accepts a job from its JSON description. Submitting a job again returns its state.
func (n *Node) Submit(ctx context.Context, body []byte) Reply {
	sub, err := wire.ParseSubmission(body)
	if err != nil {
		return Reply{Status: http.StatusBadRequest, Err: err.Error()}
	}
	id, _ := wire.ParseJob(*sub.NameID) // ParseSubmission has validated it
	if stage, ok := n.cachedFinal(id); ok {
		return n.stateReply(http.StatusOK, id, stage)
	}
	ok, reason := n.feasible(sub)
	if reason != "" && !ok {
		// If the job was accepted earlier all the same, it stays accepted.
		r := n.Poll(ctx, id)
		if r.Status == http.StatusNotFound {
			return Reply{Status: http.StatusUnprocessableEntity, Err: reason}
		}
		return r
	}
	if !ok {
		return unavailable("the machine types are not known yet")
	}
	sub.SubmittedMS = time.Now().UnixMilli()
	if size, maxBytes := len(mustEncode(sub)), int(n.cfg.Cluster.ValueKB()*1024); size > maxBytes {
		// As above.
		r := n.Poll(ctx, id)
		if r.Status == http.StatusNotFound {
			return Reply{Status: http.StatusBadRequest, Err: fmt.Sprintf(
				"the job's record takes %d bytes, more than the limit of %d; Awaits names %d jobs", size, maxBytes,
				len(sub.DependsOn))}
		}
		return r
	}
	return n.answerRequest(ctx, jobs.Submit, id, sub)
}

// feasible reports whether a job can ever run. If it returns false without a reason, that is not
// known yet because the machine types have not been read.
func (n *Node) feasible(sub *wire.Submission) (ok bool, reason string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	team, known := n.names.Teams.Lookup(*sub.Team)
	if !known {
		return false, "unknown team"
	}
	t := n.cfg.Cluster.Teams[team]
	count := 1.0
	if *sub.Shape != "batch" { // all of its tasks run at once
		count = float64(*sub.Tasks)
	}
	if t.CPUsMax > 0 && *sub.CPUs*count > t.CPUsMax || t.GPUsMax > 0 && *sub.GPUs*count > t.GPUsMax {
		return false, "above the team's limit"
	}
	if len(n.machineTypes) == 0 {
		return false, ""
	}
	perTask := model.Request(*sub.CPUs, *sub.GPUs, *sub.MemGB)
	for i := range n.machineTypes {
		machineType := &n.machineTypes[i]
		if !perTask.Fits(machineType.Cap) {
			continue
		}
		allowed := sub.Types == nil
		for _, name := range sub.Types {
			allowed = allowed || n.names.Types.Name(machineType.Name) == name
		}
		if !allowed {
			continue
		}
		if sub.Zone == nil {
			return true, ""
		}
		for _, z := range machineType.Zones {
			if n.names.Zones.Name(z) == *sub.Zone {
				return true, ""
			}
		}
	}
	return false, "a task fits no allowed machine type"
}

// Poll returns a job's state.
func (n *Node) Poll(ctx context.Context, id model.JobID) Reply {
	return n.answerRequest(ctx, jobs.Poll, id, nil)
}

// Withdraw cancels a job.
func (n *Node) Withdraw(ctx context.Context, id model.JobID) Reply {
	return n.answerRequest(ctx, jobs.Withdraw, id, nil)
}

// answerRequest answers a user's request. It forwards the request to another controller, before or
// after an attempt here, if the state service does not answer this one, and to the leader if only
// that may know whether the job was cancelled.
func (n *Node) answerRequest(ctx context.Context, kind jobs.Kind, id model.JobID, sub *wire.Submission) Reply {
	sibling, preferred := n.forwardTarget()
	if sibling != "" && preferred {
		if r, ok := n.forward(ctx, sibling, kind, id, sub); ok {
			return r
		}
	}
	r := n.answerHere(ctx, kind, id, sub)
	if r.Status != http.StatusServiceUnavailable || kind == jobs.Poll && r.RateLimited {
		return r // the rate is shared: a poll would be refused there too
	}
	if sibling == "" || preferred {
		sibling = n.leaderForInDoubt(id) // the other controller has failed already, or there is none
	}
	if sibling != "" {
		if forwarded, ok := n.forward(ctx, sibling, kind, id, sub); ok {
			return forwarded
		}
	}
	n.log.Debug("user's request answered as unavailable", "job", wire.JobName(id), "request", kind, "why", r.Err)
	return r
}

// answerHere answers a request from the cache of final states or with operations on the state
// service.
func (n *Node) answerHere(ctx context.Context, kind jobs.Kind, id model.JobID, sub *wire.Submission) Reply {
	if stage, ok := n.cachedFinal(id); ok {
		return n.stateReply(http.StatusOK, id, stage)
	}
	if n.isolated() {
		return unavailable("cut off from the state service and the other controllers")
	}
	req, op := n.newRequest(kind, id, sub)
	for {
		next, answer := req.Next(op, n.runJobOp(ctx, op, sub))
		if answer == nil {
			op = next
			continue
		}
		switch {
		case answer.RateLimited:
			return Reply{Status: http.StatusServiceUnavailable, RateLimited: true,
				Err: "the state service's request rate is exhausted"}
		case answer.Status == http.StatusServiceUnavailable:
			return unavailable("the state service does not answer")
		case answer.Status == http.StatusUnprocessableEntity:
			return Reply{Status: answer.Status, Err: "Awaits: " + wire.JobName(answer.UnknownDependency) + " was never accepted"}
		case answer.Status == http.StatusNotFound:
			return Reply{Status: answer.Status, Err: "no such job"}
		}
		if answer.Stage.Ended() {
			n.recordEnd(id, answer.Stage)
		} else if !answer.Created && !n.mayReportQueued(id) {
			return n.answerInDoubt(id)
		}
		return n.preferFinal(id, n.stateReply(answer.Status, id, answer.Stage))
	}
}

// newRequest returns a request's state machine and its first operation. For the dependencies of a
// submission it passes the versions of the open records that were seen earlier, which saves
// reading most of them.
func (n *Node) newRequest(kind jobs.Kind, id model.JobID, sub *wire.Submission) (*jobs.Request, jobs.Op) {
	if kind != jobs.Submit {
		version, believedEnded := n.cachedOpenRecord(id)
		if believedEnded {
			return jobs.NewEnded(kind, id)
		}
		return jobs.New(kind, id, version)
	}
	if len(sub.DependsOn) == 0 {
		return jobs.New(kind, id, 0) // a submission without dependencies reads nothing first
	}
	dependencies := sub.Dependencies()
	open := make(map[model.JobID]uint64, len(dependencies))
	for _, dependency := range dependencies {
		if version, _ := n.cachedOpenRecord(dependency); version != 0 {
			open[dependency] = version
		}
	}
	return jobs.NewWithDependencies(id, dependencies, open, guardsPerOp*n.cfg.Cluster.TxnOps()-2)
}

// mayReportQueued reports whether an open job may be reported to users as queued. For a job that
// waits for dependencies it must first be confirmed that none of them was cancelled too long ago.
func (n *Node) mayReportQueued(id model.JobID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	onHold := n.openRecords[id].hasDependencies
	if p, ok := n.progress[id]; ok {
		onHold = p.onHold
	}
	return !onHold || n.queuedConfirmed(n.now(), id)
}

// answerInDoubt answers for a waiting job that may not be reported as queued. If the job is certain to
// be cancelled it is reported as cancelled, else the request fails.
func (n *Node) answerInDoubt(id model.JobID) Reply {
	n.mu.Lock()
	cancelled := n.cancelledConfirmed(n.now(), id)
	n.mu.Unlock()
	if !cancelled {
		// A dependency may have been cancelled longer ago than a reported state may lag behind.
		return unavailable("no leader has reported cancellations for too long")
	}
	n.addFinal(id, jobs.Cancelled)
	return n.stateReply(http.StatusOK, id, jobs.Cancelled)
}

// Healthy reports whether load balancers should send users' requests to this controller.
func (n *Node) Healthy() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	// A controller that the state service refuses while it serves the leader can answer
	// nothing. In an outage all controllers are refused alike, and none should be avoided.
	served, _ := n.health.lastServed()
	refused := n.health.refusedAlone(n.now(), n.leaderStateServedAt) &&
		n.leaderStateServedAt > served+2500*time.Millisecond
	// Without the machine types, after a few seconds, it still answers polls and
	// cancellations, which is better than having no controller at all.
	return (len(n.machineTypes) > 0 || n.now() > 10*time.Second) && !refused && !n.isolatedLocked(n.now())
}

// isolatedLocked reports whether this controller has been cut off for a while from both the state
// service and all other controllers. Then it can't answer users, but may still serve its workers
// under its grant. In an outage of the state service the other controllers are reachable, and when
// only the connections between controllers fail, the state service is. Called under the lock.
func (n *Node) isolatedLocked(now time.Duration) bool {
	return len(n.cfg.Siblings) > 0 && n.health.stateUnreachable(now) && now-n.siblingSeenAt > linkTimeout
}

// isolated is isolatedLocked for callers that do not hold the lock.
func (n *Node) isolated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolatedLocked(n.now())
}

// rentFromCloud rents machines. refused is set if the cloud has no capacity, uncertain if it is not
// known whether it rented any.
func (n *Node) rentFromCloud(ctx context.Context, r wire.Rental) (ids []model.MachineID, refused, uncertain bool) {
	names, err := n.cloud.Rent(ctx, r)
	n.log.Info("rental", "request", r.Request, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "count", r.Count, "got",
		len(names), "err", err)
	if errors.Is(err, cloud.ErrNoCapacity) {
		return nil, true, false
	}
	if err != nil {
		return nil, false, true
	}
	for _, s := range names {
		if id, err := wire.ParseMachine(s); err == nil {
			ids = append(ids, id)
		}
	}
	return ids, false, false
}
