package node

import (
	"context"
	"errors"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
	"honeylock/internal/core/ratelimit"
	"honeylock/internal/exactjson"
	"honeylock/internal/state"
	"honeylock/internal/wire"
)

// runJobOp carries out an operation that a user's request needs.
func (n *Node) runJobOp(ctx context.Context, op jobs.Op, sub *wire.Submission) jobs.Result {
	switch op.Kind {
	case jobs.CompareOpen:
		return n.openChecker.stillOpen(ctx, jobs.Guard{Job: op.Job, Version: op.Version})
	case jobs.ReadOpen:
		return n.readOpen(ctx, op.Job)
	case jobs.ReadFinal:
		return n.readFinal(ctx, op.Job)
	default:
		return n.changeJob(ctx, op, sub)
	}
}

// readOpen reads a job's open record and caches its version.
func (n *Node) readOpen(ctx context.Context, id model.JobID) jobs.Result {
	item, err := n.state.Get(ctx, openPrefix+wire.JobName(id))
	if err != nil {
		return jobs.Result{Outcome: readOutcome(err)}
	}
	var rec struct{ Awaits []string }
	if exactjson.Unmarshal(item.Value, &rec) != nil {
		return jobs.Result{Outcome: jobs.Failed}
	}
	n.cacheOpenRecord(id, item.Version, len(rec.Awaits) > 0)
	return jobs.Result{Version: item.Version}
}

// readFinal reads a job's final record.
func (n *Node) readFinal(ctx context.Context, id model.JobID) jobs.Result {
	item, err := n.state.Get(ctx, finalPrefix+wire.JobName(id))
	if err != nil {
		return jobs.Result{Outcome: readOutcome(err)}
	}
	var final wire.Final
	if exactjson.Unmarshal(item.Value, &final) != nil || !jobs.Stage(final.Stage).Ended() {
		return jobs.Result{Outcome: jobs.Failed}
	}
	return jobs.Result{Version: item.Version, Stage: jobs.Stage(final.Stage)}
}

// readOutcome maps the error of a read to the outcome for a request.
func readOutcome(err error) jobs.Outcome {
	switch {
	case errors.Is(err, state.ErrNotFound):
		return jobs.Missing
	case errors.Is(err, state.ErrBusy):
		return jobs.Busy
	}
	return jobs.Failed
}

// changeJob accepts or cancels a job in one transaction. A job that is accepted with a final stage
// gets only a final record.
func (n *Node) changeJob(ctx context.Context, op jobs.Op, sub *wire.Submission) jobs.Result {
	id := op.Job
	name := wire.JobName(id)
	openKey, finalKey := openPrefix+name, finalPrefix+name
	txn := wire.Txn{}
	if op.Kind == jobs.Create {
		txn.Guards = []wire.Guard{{Key: openKey}, {Key: finalKey}}
		for _, g := range op.Guards {
			txn.Guards = append(txn.Guards, wire.Guard{Key: openPrefix + wire.JobName(g.Job), Version: g.Version})
		}
		txn.Then = []wire.Op{{Put: openKey, Value: mustEncode(sub)}}
		if op.Stage != "" {
			txn.Then = finalOps(id, op.Stage)[1:] // without the deletion: there is no open record
		}
	} else {
		txn.Guards = []wire.Guard{{Key: openKey, Version: op.Version}}
		txn.Then = finalOps(id, jobs.Cancelled)
	}
	rev, err := n.state.Txn(state.WithClass(ctx, ratelimit.Changes), txn)
	switch {
	case err == nil:
		if op.Kind == jobs.Create && op.Stage == "" {
			n.cacheOpenRecord(id, rev, len(sub.DependsOn) > 0)
		}
		return jobs.Result{}
	case errors.Is(err, state.ErrConflict):
		return jobs.Result{Outcome: jobs.Conflict}
	case errors.Is(err, state.ErrBusy):
		return jobs.Result{Outcome: jobs.Busy}
	}
	return jobs.Result{Outcome: jobs.Failed}
}

// cachedOpenRecord returns the version of a job's open record if this controller has seen it or the
// leader has reported it, else 0. ended is set if the job is believed to have ended: its open
// record was not seen, and the leader's last report of all open jobs does not contain it. It may
// have been submitted since then.
func (n *Node) cachedOpenRecord(id model.JobID) (version uint64, ended bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if record := n.openRecords[id]; record.version != 0 {
		return record.version, false
	}
	p, open := n.progress[id]
	return p.version, !open && len(n.progress) > 0
}

// cacheOpenRecord remembers a job's open record.
func (n *Node) cacheOpenRecord(id model.JobID, version uint64, hasDependencies bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.openRecords) >= maxCachedJobs {
		clear(n.openRecords) // the records are read again when needed
	}
	n.openRecords[id] = openRecordInfo{version, hasDependencies}
}

// cacheRemovedRecords remembers the open records of jobs that the leader reported before but no
// longer reports. Their users will poll once more. With the cached version this controller can then ask
// the leader, which answers for a job that it has completed without a request to the state service.
// Called under the lock.
func (n *Node) cacheRemovedRecords(previous map[model.JobID]jobProgress) {
	for id, p := range previous {
		if _, open := n.progress[id]; open || p.version == 0 {
			continue
		}
		if _, ended := n.cachedFinals[id]; !ended && len(n.openRecords) < maxCachedJobs {
			n.openRecords[id] = openRecordInfo{p.version, p.onHold}
		}
	}
}

// openRecordInfo is what is remembered of a job's open record.
type openRecordInfo struct {
	version         uint64
	hasDependencies bool
}
