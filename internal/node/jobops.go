package node

import (
	"context"
	"errors"

	"github.com/segmentio/encoding/json"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
	"honeylock/internal/core/ratelimit"
	"honeylock/internal/state"
	"honeylock/internal/wire"
)

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
