package sim

import (
	"time"

	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/drain"
	"honeylock/internal/core/election"
	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
)

type openJob struct {
	spec    *model.Spec
	awaits  []model.JobID
	version uint64
}

type record struct {
	machines []model.Machine
	version  uint64
}

type chunk struct {
	bits    []byte
	version uint64
}

// blockSize is the number of machines in a stored block: small, so that there
// are several.
const blockSize = 4

// store is the state service, as far as the cores use it.
type store struct {
	w       *world
	out     bool
	rev     uint64
	leases  map[uint64]time.Duration // end
	leader  election.LeaderRecord
	term    uint64
	termRev uint64
	open    map[model.JobID]openJob
	done    map[model.JobID]map[int32]chunk
	final   map[model.JobID]jobs.Stage
	records map[dispatcher.BlockID]record
	plans   map[string]drain.StoredPlan
	refuses map[string]time.Duration // controllers that it alone refuses, until then
	late    time.Duration            // until when a part of the transactions is carried out late
	mute    time.Duration            // until when a part of them is carried out at once, and gets no answer
	unread  map[model.JobID]string   // jobs that such a transaction has changed, and whose it was
	touched *model.JobID             // the job that the last operation changed
}

func newStore(w *world) *store {
	return &store{w: w, rev: 1, leases: map[uint64]time.Duration{}, open: map[model.JobID]openJob{},
		done: map[model.JobID]map[int32]chunk{}, final: map[model.JobID]jobs.Stage{},
		records: map[dispatcher.BlockID]record{}, plans: map[string]drain.StoredPlan{}, refuses: map[string]time.Duration{},
		unread: map[model.JobID]string{}}
}

// back ends an outage: every lease has its full time again.
func (s *store) back() {
	s.out = false
	for id := range s.leases {
		s.leases[id] = s.w.now + s.w.p.ttl
	}
}

// serves tells whether a controller's request is carried out.
func (s *store) serves(host string) bool { return !s.out && s.w.now >= s.refuses[host] }

// lateShare is the part of transactions that get no answer and are carried out late.
const lateShare = 0.3

// putsOff has a transaction carried out late, after newer ones, without an answer.
func (s *store) putsOff(op func() any) bool {
	if s.w.now >= s.late || s.w.rng.Float64() >= lateShare {
		return false
	}
	s.w.after(s.w.between(2*time.Second, 12*time.Second), func() {
		if !s.out {
			s.w.saw("a transaction is carried out late")
			op()
		}
	})
	return true
}

// losesAnswer tells whether a transaction's answer is lost.
func (s *store) losesAnswer() bool { return s.w.now < s.mute && s.w.rng.Float64() < lateShare }

// reads notes that a controller reads what another one's transaction did without an answer.
func (s *store) reads(host string, op jobs.Op) {
	whose, ok := s.unread[op.Job]
	if !ok || op.Kind == jobs.Create || op.Kind == jobs.Cancel {
		return
	}
	if whose != host {
		s.w.saw("others read what was done without an answer")
	}
	delete(s.unread, op.Job)
}

func (s *store) expire() {
	if s.out {
		return
	}
	for id, end := range s.leases {
		if s.w.now > end {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	if s.leader.Present && s.leader.Lease == id {
		s.rev++
		s.leader = election.LeaderRecord{}
	}
}

func (s *store) election(host string, op election.Op) any {
	s.expire()
	res := election.Result{Op: op}
	switch op.Verb {
	case election.Read:
		res.OK, res.Leader, res.Term, res.TermVersion = true, s.leader, s.term, s.termRev
	case election.Grant:
		s.rev++
		s.leases[s.rev] = s.w.now + s.w.p.ttl
		res.Lease, res.OK = s.rev, true
	case election.Acquire:
		if _, ok := s.leases[op.Lease]; ok && !s.leader.Present && s.termRev == op.TermVersion {
			s.rev++
			s.leader = election.LeaderRecord{Present: true, Host: host, Term: op.Term, Lease: op.Lease, Version: s.rev}
			s.term, s.termRev = op.Term, s.rev
			res.Version, res.OK = s.rev, true
		}
	case election.Renew:
		if _, ok := s.leases[op.Lease]; ok {
			s.leases[op.Lease] = s.w.now + s.w.p.ttl
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

func (s *store) job(host string, u *user, op jobs.Op) any {
	s.expire()
	id := op.Job
	s.reads(host, op)
	o, open := s.open[id]
	st, final := s.final[id]
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
		if (open || final) && !s.w.p.unguarded {
			return jobs.Result{Outcome: jobs.Conflict}
		}
		for _, g := range op.Guards {
			if s.open[g.Job].version != g.Version {
				return jobs.Result{Outcome: jobs.Conflict}
			}
		}
		s.rev++
		if op.Stage != "" {
			s.final[id] = op.Stage
		} else {
			s.open[id] = openJob{u.spec, u.awaits, s.rev}
		}
		s.touched = &id
		return jobs.Result{}
	case jobs.Cancel:
		if (!open || o.version != op.Version) && !s.w.p.unguarded {
			return jobs.Result{Outcome: jobs.Conflict}
		}
		s.rev++
		delete(s.open, id)
		s.final[id] = jobs.Cancelled
		s.touched = &id
		return jobs.Result{}
	}
	return nil
}

type written struct {
	rev      uint64
	ok, lost bool
}

// write applies a leader's write, guarded by the leader key's version.
func (s *store) write(guard uint64, wr dispatcher.Write) any {
	s.expire()
	if (!s.leader.Present || s.leader.Version != guard) && !s.w.p.unguarded {
		return written{}
	}
	s.rev++
	switch wr.Kind {
	case dispatcher.PutBlock:
		if v := s.records[wr.Block].version; v != wr.Version && !s.w.p.unguarded {
			return written{rev: v, lost: true}
		}
		s.records[wr.Block] = record{wr.Machines, s.rev}
	case dispatcher.DropBlock:
		if v := s.records[wr.Block].version; v != wr.Version {
			return written{rev: v, lost: true}
		}
		delete(s.records, wr.Block)
	case dispatcher.PutChunk:
		if s.done[wr.Job] == nil {
			s.done[wr.Job] = map[int32]chunk{}
		}
		v := s.done[wr.Job][wr.Chunk.Index].version
		if (v != wr.Version || s.open[wr.Job].version != wr.JobVersion) && !s.w.p.unguarded {
			return written{rev: v, lost: true}
		}
		s.checkUndone(wr)
		s.done[wr.Job][wr.Chunk.Index] = chunk{wr.Bits, s.rev}
	case dispatcher.FinishJob:
		if o, ok := s.open[wr.Job]; !ok || o.version != wr.Version {
			return written{lost: true}
		}
		delete(s.open, wr.Job)
		delete(s.done, wr.Job)
		s.final[wr.Job] = jobs.Done
	}
	return written{rev: s.rev, ok: true}
}

// checkUndone: a chunk that is written after a newer one takes back what is stored as done.
func (s *store) checkUndone(wr dispatcher.Write) {
	for i, b := range s.done[wr.Job][wr.Chunk.Index].bits {
		if i >= len(wr.Bits) || b&^wr.Bits[i] != 0 {
			s.w.fail("undone", "job %d: %08b over %08b", wr.Job, wr.Bits, s.done[wr.Job][wr.Chunk.Index].bits)
			return
		}
	}
}
