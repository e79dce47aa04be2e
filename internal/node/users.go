package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/segmentio/encoding/json"

	"honeylock/internal/cloud"
	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
	"honeylock/internal/core/ratelimit"
	"honeylock/internal/core/shard"
	"honeylock/internal/state"
	"honeylock/internal/wire"
)

// Reply to a user.
type Reply struct {
	Status int
	State  *wire.JobState
	Err    string
}

func unavailable(why string) Reply { return Reply{Status: http.StatusServiceUnavailable, Err: why} }

func (n *Node) stateReply(status int, id model.JobID, st jobs.Stage) Reply {
	s := &wire.JobState{NameID: wire.JobName(id), Stage: string(st)}
	if !st.Ended() {
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

// Submit takes a submission.
func (n *Node) Submit(ctx context.Context, body []byte) Reply {
	sub, err := wire.ParseSubmission(body)
	if err != nil {
		return Reply{Status: http.StatusBadRequest, Err: err.Error()}
	}
	id, _ := wire.ParseJob(*sub.NameID) // it was checked
	if st, ok := n.final(id); ok {
		return n.stateReply(http.StatusOK, id, st)
	}
	ok, why := n.feasible(sub)
	if why != "" && !ok {
		// Should it have been accepted in spite of that, it stays accepted.
		r := n.Poll(ctx, id)
		if r.Status == http.StatusNotFound {
			return Reply{Status: http.StatusUnprocessableEntity, Err: why}
		}
		return r
	}
	if !ok {
		return unavailable("the machine types are not known yet")
	}
	sub.SubmittedMS = time.Now().UnixMilli()
	if size, most := len(encode(sub)), int(n.cfg.Cluster.ValueKB()*1024); size > most {
		// As above.
		r := n.Poll(ctx, id)
		if r.Status == http.StatusNotFound {
			return Reply{Status: http.StatusBadRequest, Err: fmt.Sprintf(
				"the job takes %d bytes to store, more than %d; %d of its names are in Awaits", size, most, len(sub.Awaits))}
		}
		return r
	}
	return n.run(ctx, jobs.Submit, id, sub)
}

// feasible tells whether a job can ever run. Without a reason it can't be told
// yet.
func (n *Node) feasible(s *wire.Submission) (ok bool, why string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	team, known := n.names.Teams.Lookup(*s.Team)
	if !known {
		return false, "unknown team"
	}
	t := n.cfg.Cluster.Teams[team]
	count := 1.0
	if *s.Shape != "batch" { // all tasks at once
		count = float64(*s.Tasks)
	}
	if t.CPUsMax > 0 && *s.CPUs*count > t.CPUsMax || t.GPUsMax > 0 && *s.GPUs*count > t.GPUsMax {
		return false, "above the team's limit"
	}
	if len(n.types) == 0 {
		return false, ""
	}
	each := model.Request(*s.CPUs, *s.GPUs, *s.MemGB)
	for i := range n.types {
		mt := &n.types[i]
		if !each.Fits(mt.Cap) {
			continue
		}
		allowed := s.Types == nil
		for _, name := range s.Types {
			allowed = allowed || n.names.Types.Name(mt.Name) == name
		}
		if !allowed {
			continue
		}
		if s.Zone == nil {
			return true, ""
		}
		for _, z := range mt.Zones {
			if n.names.Zones.Name(z) == *s.Zone {
				return true, ""
			}
		}
	}
	return false, "a task fits no allowed machine type"
}

// Poll answers with a job's state.
func (n *Node) Poll(ctx context.Context, id model.JobID) Reply { return n.run(ctx, jobs.Poll, id, nil) }

// Withdraw cancels a job.
func (n *Node) Withdraw(ctx context.Context, id model.JobID) Reply {
	return n.run(ctx, jobs.Withdraw, id, nil)
}

// run answers a request here, or by way of a sibling if the state service does
// not answer this controller.
func (n *Node) run(ctx context.Context, k jobs.Kind, id model.JobID, sub *wire.Submission) Reply {
	helper, first := n.helper()
	if helper != "" && first {
		if r, ok := n.forward(ctx, helper, k, id, sub); ok {
			return r
		}
	}
	r := n.ask(ctx, k, id, sub)
	if r.Status != http.StatusServiceUnavailable {
		return r
	}
	if helper == "" || first {
		helper = n.knower(id) // it has been asked, or there is none
	}
	if helper != "" {
		if f, ok := n.forward(ctx, helper, k, id, sub); ok {
			return f
		}
	}
	n.log.Debug("not answered", "job", wire.JobName(id), "request", k, "why", r.Err)
	return r
}

func (n *Node) ask(ctx context.Context, k jobs.Kind, id model.JobID, sub *wire.Submission) Reply {
	if st, ok := n.final(id); ok {
		return n.stateReply(http.StatusOK, id, st)
	}
	if n.cutOff() {
		return unavailable("cut off from the state service and the other controllers")
	}
	req, op := n.request(k, id, sub)
	for {
		next, ans := req.Next(op, n.jobOp(ctx, op, sub))
		if ans == nil {
			op = next
			continue
		}
		switch {
		case ans.OverRate:
			return unavailable("the state service is asked for more than it serves")
		case ans.Status == http.StatusServiceUnavailable:
			return unavailable("the state service does not answer")
		case ans.Status == http.StatusUnprocessableEntity:
			return Reply{Status: ans.Status, Err: "Awaits: " + wire.JobName(ans.Unknown) + " was never accepted"}
		case ans.Status == http.StatusNotFound:
			return Reply{Status: ans.Status, Err: "no such job"}
		}
		if ans.Stage.Ended() {
			n.tellEnd(id, ans.Stage)
		} else if !ans.Created && !n.maySayQueued(id) {
			return n.inDoubt(id)
		}
		return n.notOlder(id, n.stateReply(ans.Status, id, ans.Stage))
	}
}

// request begins a request. What a submission awaits was mostly seen a moment ago.
func (n *Node) request(k jobs.Kind, id model.JobID, sub *wire.Submission) (*jobs.Request, jobs.Op) {
	if k != jobs.Submit || len(sub.Awaits) == 0 {
		return jobs.New(k, id, n.version(id))
	}
	needs := sub.Needs()
	open := make(map[model.JobID]uint64, len(needs))
	for _, need := range needs {
		if v := n.version(need); v != 0 {
			open[need] = v
		}
	}
	return jobs.NewAwaiting(id, needs, open, 4*n.cfg.Cluster.TxnOps()-2)
}

// maySayQueued tells whether users may be told that an open job is queued.
func (n *Node) maySayQueued(id model.JobID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	waits := n.versions[id].awaits
	if p, ok := n.progress[id]; ok {
		waits = p.waits
	}
	return !waits || n.vouches(n.now(), id)
}

// inDoubt answers about a waiting job that nobody may call queued: as cancelled, where
// that is certain.
func (n *Node) inDoubt(id model.JobID) Reply {
	n.mu.Lock()
	cancelled := n.certain(n.now(), id)
	n.mu.Unlock()
	if !cancelled {
		// It may have been cancelled with a job that it needs, longer ago than may be.
		return unavailable("no leader has told of cancellations for too long")
	}
	n.keepFinal(id, jobs.Cancelled)
	return n.stateReply(http.StatusOK, id, jobs.Cancelled)
}

func (n *Node) jobOp(ctx context.Context, op jobs.Op, sub *wire.Submission) jobs.Result {
	id := op.Job
	name := wire.JobName(id)
	openKey, finalKey := openKeys+name, finalKeys+name
	switch op.Kind {
	case jobs.StillOpen:
		return n.questions.stillOpen(ctx, jobs.Guard{Job: id, Version: op.Version})
	case jobs.ReadOpen, jobs.ReadFinal:
		key := openKey
		if op.Kind == jobs.ReadFinal {
			key = finalKey
		}
		it, err := n.state.Get(ctx, key)
		switch {
		case errors.Is(err, state.ErrNotFound):
			return jobs.Result{Outcome: jobs.Missing}
		case errors.Is(err, state.ErrBusy):
			return jobs.Result{Outcome: jobs.Busy}
		case err != nil:
			return jobs.Result{Outcome: jobs.Failed}
		}
		res := jobs.Result{Version: it.Version}
		if op.Kind == jobs.ReadOpen {
			var rec struct{ Awaits []string }
			if json.Unmarshal(it.Value, &rec) != nil {
				return jobs.Result{Outcome: jobs.Failed}
			}
			n.keepVersion(id, it.Version, len(rec.Awaits) > 0)
		}
		if op.Kind == jobs.ReadFinal {
			var f wire.Final
			if json.Unmarshal(it.Value, &f) != nil || !jobs.Stage(f.Stage).Ended() {
				return jobs.Result{Outcome: jobs.Failed}
			}
			res.Stage = jobs.Stage(f.Stage)
		}
		return res
	}
	t := wire.Txn{}
	if op.Kind == jobs.Create {
		t.Guards = []wire.Guard{{Key: openKey}, {Key: finalKey}}
		for _, g := range op.Guards {
			t.Guards = append(t.Guards, wire.Guard{Key: openKeys + wire.JobName(g.Job), Version: g.Version})
		}
		t.Then = []wire.Op{{Put: openKey, Value: encode(sub)}}
		if op.Stage != "" {
			t.Then = finalOps(id, op.Stage)[1:] // it never was open
		}
	} else {
		t.Guards = []wire.Guard{{Key: openKey, Version: op.Version}}
		t.Then = finalOps(id, jobs.Cancelled)
	}
	rev, err := n.state.Txn(state.As(ctx, ratelimit.Changes), t)
	switch {
	case err == nil:
		if op.Kind == jobs.Create && op.Stage == "" {
			n.keepVersion(id, rev, len(sub.Awaits) > 0)
		}
		return jobs.Result{}
	case errors.Is(err, state.ErrConflict):
		return jobs.Result{Outcome: jobs.Conflict}
	case errors.Is(err, state.ErrBusy):
		return jobs.Result{Outcome: jobs.Busy}
	}
	return jobs.Result{Outcome: jobs.Failed}
}

// version is that of a job's open record, if it has been seen, else 0.
func (n *Node) version(id model.JobID) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if v := n.versions[id]; v.version != 0 {
		return v.version
	}
	return n.progress[id].version
}

func (n *Node) keepVersion(id model.JobID, version uint64, awaits bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.versions) >= maxFinals {
		clear(n.versions) // they are read again
	}
	n.versions[id] = openSeen{version, awaits}
}

// keepVersions keeps those of jobs that the leader no longer tells of: their users will ask
// once more, and a leader that has ended one answers without asking the state service.
// Called under the lock.
func (n *Node) keepVersions(before map[model.JobID]progress) {
	for id, p := range before {
		if _, open := n.progress[id]; open || p.version == 0 {
			continue
		}
		if _, ended := n.finals[id]; !ended && len(n.versions) < maxFinals {
			n.versions[id] = openSeen{p.version, p.waits}
		}
	}
}

// openSeen is what was seen of an open record: its version, and whether its job awaits
// others.
type openSeen struct {
	version uint64
	awaits  bool
}

const (
	seatSoon = 4 * time.Second // a controller without a shard mostly has one again within
	seatWait = 900 * time.Millisecond
)

// Report answers a worker: its commands, or (not ok) where to report instead.
func (n *Node) Report(ctx context.Context, raw *wire.RawReport) (a shard.Answer, keeper string, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r, err := raw.Report(n.names)
	if err != nil {
		return a, "", err
	}
	n.stats.Reports++
	n.reported = n.now()
	if n.seat == nil && n.now()-n.unseated < seatSoon {
		// This controller has just started, or its leader is gone: it will have a
		// shard within moments. Sent to the leader at once, the workers of all
		// controllers came to it together, when it had most else to do.
		n.wait(ctx, n.seated, seatWait)
	}
	if l := n.lead; l != nil && !l.loaded {
		// The store is being read: worth a moment, for the next node would
		// only send the worker back here.
		n.wait(ctx, l.ready, 2*time.Second)
	}
	a, keeper, unowned := n.answer(r)
	if !a.OK && unowned && (n.lead != nil || n.seat.out != nil) {
		// The leader is asked whose machine it is; that takes a moment.
		a, keeper = n.answerLater(ctx, r)
	}
	if !a.OK && n.seat != nil && n.seat.s.Proving(n.now(), r.Machine.ID) {
		// Nothing shows that it hears; it is being asked, and mostly answers at once.
		a, keeper = n.answerLater(ctx, r)
	}
	if a.OK {
		return a, "", nil
	}
	n.stats.Redirected++
	if keeper == "" && n.seat == nil && n.lead == nil && n.now()-n.unseated >= seatSoon {
		// Nothing can be done for the worker here, for longer than it takes to join
		// a leader; the leader, if it lives, can.
		if keeper = n.el.Holder(); keeper == n.cfg.HostName || keeper != n.leader && n.tried == keeper {
			keeper = ""
		}
	}
	return a, keeper, nil
}

// answerLater waits for news of a report's machine, then answers it as answer does.
func (n *Node) answerLater(ctx context.Context, r *model.Report) (a shard.Answer, keeper string) {
	c := make(chan struct{})
	n.waits[r.Machine.ID] = append(n.waits[r.Machine.ID], c)
	n.wait(ctx, c, time.Second)
	delete(n.waits, r.Machine.ID)
	a, keeper, _ = n.answer(r)
	return a, keeper
}

// wait lets go of the lock until c is closed or the time is over.
func (n *Node) wait(ctx context.Context, c <-chan struct{}, d time.Duration) {
	n.mu.Unlock()
	defer n.mu.Lock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-c:
	case <-t.C:
	case <-ctx.Done():
	}
}

// answer takes a report to this controller's shard. unowned tells that the
// shard may act, but does not own the machine.
func (n *Node) answer(r *model.Report) (a shard.Answer, keeper string, unowned bool) {
	now := n.now()
	if n.seat == nil || !n.seat.s.Granted(now) {
		return a, "", false
	}
	s := n.seat.s
	ok := s.Report(now, r)
	if !ok && n.lead != nil { // the dealer is at hand: it may be ours by now
		n.lead.deals.exchange(now)
		ok = s.Report(now, r)
	}
	if ok {
		s.PlaceOn(now, r.Machine.ID)
		a = s.Answer(now, r)
	} else {
		keeper = s.Moved(r.Machine.ID)
		n.tell(now) // at once: the worker waits for its owner
	}
	n.soon()
	return a, keeper, !ok && keeper == "" && !s.Owns(r.Machine.ID)
}

// Healthy tells whether users' requests can be taken.
func (n *Node) Healthy() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	// Refused by the state service while it answers the leader, this node can
	// take nothing; in an outage all are alike, and none should be shunned.
	served, _ := n.health.served()
	refused := n.health.alone(n.now(), n.leaderStateAt) && n.leaderStateAt > served+2500*time.Millisecond
	// Without the machine types it still answers polls and cancellations, which
	// is better than no node at all.
	return (len(n.types) > 0 || n.now() > 10*time.Second) && !refused && !n.cutFrom(n.now())
}

// cutFrom tells whether neither the state service nor any sibling has been heard for a
// while: whatever users ask here, nobody could answer, while its workers may still be
// served under the grant. In an outage siblings are heard, and in a quarrel of
// controllers the state service is. Called under the lock.
func (n *Node) cutFrom(now time.Duration) bool {
	return len(n.cfg.Siblings) > 0 && n.health.missing(now) && now-n.sibling > linkTimeout
}

func (n *Node) cutOff() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutFrom(n.now())
}

func (n *Node) rent(ctx context.Context, r wire.Rental) (ids []model.MachineID, refused, doubt bool) {
	names, err := n.cloud.Rent(ctx, r)
	n.log.Info("rental", "request", r.Request, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "count", r.Count, "got", len(names), "err", err)
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
