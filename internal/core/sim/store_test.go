package sim

import (
	"time"

	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/drain"
	"honeylock/internal/core/election"
	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
)

// openJob is the stored record of an open job.
type openJob struct {
	spec      *model.Spec
	dependsOn []model.JobID
	version   uint64
}

// record is a stored block of machine records.
type record struct {
	machines []model.Machine
	version  uint64
}

// chunk is a stored part of a job's bitmap of done tasks.
type chunk struct {
	bits    []byte
	version uint64
}

// blockSize is the number of machines in a stored block, small so that there are several blocks.
const blockSize = 4

// store is the state service as far as the core packages use it.
type store struct {
	w        *world
	down     bool
	revision uint64
	// End of each lease.
	leases       map[uint64]time.Duration
	leader       election.LeaderRecord
	term         uint64
	termRevision uint64
	openJobs     map[model.JobID]openJob
	doneChunks   map[model.JobID]map[int32]chunk
	finalStages  map[model.JobID]jobs.Stage
	records      map[dispatcher.BlockID]record
	plans        map[string]drain.StoredPlan
	// By host, the end of the period in which the store refuses only this controller.
	refusedUntil map[string]time.Duration
	// End of the period in which some transactions are carried out late.
	lateUntil time.Duration
	// End of the period in which some transactions are carried out, but not answered.
	answersLostUntil time.Duration
	// Jobs that an unanswered transaction changed and no controller has read since, with the
	// controller that sent it.
	unreadChanges map[model.JobID]string
	// Job that the last operation changed.
	changedJob *model.JobID
}

// newStore returns an empty store.
func newStore(w *world) *store {
	return &store{w: w, revision: 1, leases: map[uint64]time.Duration{}, openJobs: map[model.JobID]openJob{},
		doneChunks: map[model.JobID]map[int32]chunk{}, finalStages: map[model.JobID]jobs.Stage{},
		records: map[dispatcher.BlockID]record{}, plans: map[string]drain.StoredPlan{},
		refusedUntil:  map[string]time.Duration{},
		unreadChanges: map[model.JobID]string{}}
}

// restore ends an outage; every lease gets its full time again.
func (s *store) restore() {
	s.down = false
	for id := range s.leases {
		s.leases[id] = s.w.now + s.w.params.leaderTTL
	}
}

// serves reports whether the store carries out a controller's requests.
func (s *store) serves(host string) bool { return !s.down && s.w.now >= s.refusedUntil[host] }

// faultyTransactionShare is the share of transactions that are carried out late or not answered while
// such a fault lasts.
const faultyTransactionShare = 0.3

// delayTransaction reports whether a transaction is delayed. If so, it gets no answer and is carried
// out after newer ones.
func (s *store) delayTransaction(op func() any) bool {
	if s.w.now >= s.lateUntil || s.w.rng.Float64() >= faultyTransactionShare {
		return false
	}
	s.w.after(s.w.randomDuration(2*time.Second, 12*time.Second), func() {
		if !s.down {
			s.w.observe("a transaction is carried out late")
			op()
		}
	})
	return true
}

// losesAnswer reports whether a transaction's answer is lost.
func (s *store) losesAnswer() bool {
	return s.w.now < s.answersLostUntil && s.w.rng.Float64() < faultyTransactionShare
}

// noteRead observes that another controller reads the result of an unanswered transaction.
func (s *store) noteRead(host string, op jobs.Op) {
	whose, ok := s.unreadChanges[op.Job]
	if !ok || op.Kind == jobs.Create || op.Kind == jobs.Cancel {
		return
	}
	if whose != host {
		s.w.observe("another controller reads the result of an unanswered transaction")
	}
	delete(s.unreadChanges, op.Job)
}

// expireLeases ends the leases that are over; none ends during an outage.
func (s *store) expireLeases() {
	if s.down {
		return
	}
	for id, end := range s.leases {
		if s.w.now > end {
			s.endLease(id)
		}
	}
}

// endLease ends a lease, and with it the leader record that belongs to it.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	if s.leader.Present && s.leader.Lease == id {
		s.revision++
		s.leader = election.LeaderRecord{}
	}
}

// election carries out a request of an election.
func (s *store) election(host string, op election.Op) any {
	s.expireLeases()
	res := election.Result{Op: op}
	switch op.Verb {
	case election.Read:
		res.OK, res.Leader, res.Term, res.TermVersion = true, s.leader, s.term, s.termRevision
	case election.Grant:
		s.revision++
		s.leases[s.revision] = s.w.now + s.w.params.leaderTTL
		res.Lease, res.OK = s.revision, true
	case election.Acquire:
		if _, ok := s.leases[op.Lease]; ok && !s.leader.Present && s.termRevision == op.TermVersion {
			s.revision++
			s.leader = election.LeaderRecord{Present: true, Host: host, Term: op.Term, Lease: op.Lease, Version: s.revision}
			s.term, s.termRevision = op.Term, s.revision
			res.Version, res.OK = s.revision, true
		}
	case election.Renew:
		if _, ok := s.leases[op.Lease]; ok {
			s.leases[op.Lease] = s.w.now + s.w.params.leaderTTL
			res.OK = true
		} else {
			res.NotExecuted = true
		}
	case election.Revoke:
		s.endLease(op.Lease)
		res.OK = true
	}
	return res
}

// handleJobOp carries out a request about a job on behalf of its user.
func (s *store) handleJobOp(host string, u *user, op jobs.Op) any {
	s.expireLeases()
	id := op.Job
	s.noteRead(host, op)
	o, open := s.openJobs[id]
	st, final := s.finalStages[id]
	switch op.Kind {
	case jobs.CompareOpen:
		if !open || o.version != op.Version {
			return jobs.Result{Outcome: jobs.Conflict}
		}
		return jobs.Result{}
	case jobs.ReadOpen:
		if !open {
			return jobs.Result{Outcome: jobs.Missing}
		}
		return jobs.Result{Version: o.version}
	case jobs.ReadFinal:
		if !final {
			return jobs.Result{Outcome: jobs.Missing}
		}
		return jobs.Result{Stage: st}
	case jobs.Create:
		if (open || final) && !s.w.params.unguardedWrites {
			return jobs.Result{Outcome: jobs.Conflict}
		}
		for _, g := range op.Guards {
			if s.openJobs[g.Job].version != g.Version {
				return jobs.Result{Outcome: jobs.Conflict}
			}
		}
		s.revision++
		if op.Stage != "" {
			s.finalStages[id] = op.Stage
		} else {
			s.openJobs[id] = openJob{u.spec, u.dependsOn, s.revision}
		}
		s.changedJob = &id
		return jobs.Result{}
	case jobs.Cancel:
		if (!open || o.version != op.Version) && !s.w.params.unguardedWrites {
			return jobs.Result{Outcome: jobs.Conflict}
		}
		s.revision++
		delete(s.openJobs, id)
		s.finalStages[id] = jobs.Cancelled
		s.changedJob = &id
		return jobs.Result{}
	}
	return nil
}

// writeResult is the outcome of a leader's write: ok if it was applied, conflict if the record has
// another version, neither if the writer no longer leads.
type writeResult struct {
	revision     uint64
	ok, conflict bool
}

// write applies a leader's write if the writer still leads and the record has the expected version.
func (s *store) write(guard uint64, wr dispatcher.Write) any {
	s.expireLeases()
	if (!s.leader.Present || s.leader.Version != guard) && !s.w.params.unguardedWrites {
		return writeResult{}
	}
	s.revision++
	switch wr.Kind {
	case dispatcher.PutBlock:
		if v := s.records[wr.Block].version; v != wr.Version && !s.w.params.unguardedWrites {
			return writeResult{revision: v, conflict: true}
		}
		s.records[wr.Block] = record{wr.Machines, s.revision}
	case dispatcher.DropBlock:
		if v := s.records[wr.Block].version; v != wr.Version {
			return writeResult{revision: v, conflict: true}
		}
		delete(s.records, wr.Block)
	case dispatcher.PutChunk:
		if s.doneChunks[wr.Job] == nil {
			s.doneChunks[wr.Job] = map[int32]chunk{}
		}
		v := s.doneChunks[wr.Job][wr.Chunk.Index].version
		if (v != wr.Version || s.openJobs[wr.Job].version != wr.JobVersion) && !s.w.params.unguardedWrites {
			return writeResult{revision: v, conflict: true}
		}
		s.checkProgressKept(wr)
		s.doneChunks[wr.Job][wr.Chunk.Index] = chunk{wr.Bits, s.revision}
	case dispatcher.FinishJob:
		if o, ok := s.openJobs[wr.Job]; !ok || o.version != wr.Version {
			return writeResult{conflict: true}
		}
		delete(s.openJobs, wr.Job)
		delete(s.doneChunks, wr.Job)
		s.finalStages[wr.Job] = jobs.Done
	}
	return writeResult{revision: s.revision, ok: true}
}

// checkProgressKept checks that a chunk marks all tasks as done that the stored chunk does.
func (s *store) checkProgressKept(wr dispatcher.Write) {
	for i, b := range s.doneChunks[wr.Job][wr.Chunk.Index].bits {
		if i >= len(wr.Bits) || b&^wr.Bits[i] != 0 {
			s.w.fail("progress_lost", "job %d: %08b over %08b", wr.Job, wr.Bits, s.doneChunks[wr.Job][wr.Chunk.Index].bits)
			return
		}
	}
}
