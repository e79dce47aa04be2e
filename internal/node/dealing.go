package node

import (
	"errors"
	"time"

	"honeylock/internal/core/cancellog"
	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
	"honeylock/internal/core/pipeline"
	"honeylock/internal/core/writequota"
	"honeylock/internal/peer/peerpb"
	"honeylock/internal/state"
	"honeylock/internal/wire"
)

// dealing is the leader's part that deals tasks to the shards.
type dealing struct {
	l *leadership
	d *dispatcher.Dispatcher
	// fresh is when the last question about open jobs that was answered was
	// asked: a leader that hears of no cancellations must not go on.
	fresh time.Duration
	// picture is up to when every cancellation that a user was told of is known: fresh, or
	// later by what all controllers tell. Authority goes by it.
	picture cancellog.OpenJobsView
	// blindSince: since then the state service has answered all but questions about the open
	// jobs; 0: it has not.
	blindSince time.Duration
	told       time.Duration // fresh when progress was last gathered
	rev        uint64        // the open jobs were listed at
	orphans    []string      // keys of jobs that have ended
	ticked     time.Duration
	due        bool // to deal
	dealt      time.Duration
	// dealCost is what dealing took the last time.
	dealCost time.Duration
	shown    time.Duration
	toldLoad time.Duration
	healed   bool
}

func (p *dealing) tick(now time.Duration) {
	l := p.l
	if !p.healed && p.d.Recovered() {
		p.healed = true
		l.n.log.Info("all machines of earlier terms accounted for", "term", l.term)
	}
	if now-p.ticked >= 100*time.Millisecond {
		p.ticked = now
		l.n.seat.s.Tick(now)
		p.d.Tick(now)
		p.due = true
		p.turn(now)
		for _, id := range p.d.TakeBrokenJobs() {
			l.n.log.Info("job held to be broken: it fails on several machines, and is tried with one task at a time", "job",
				wire.JobName(id))
		}
	}
	if now-p.shown >= time.Second {
		p.shown = now
		p.showProgress()
	}
	if now-p.toldLoad >= loadEvery {
		p.toldLoad = now
		p.logLoad()
	}
}

// deal deals tasks with what the shards have told of their room, once their
// events have been exchanged.
func (p *dealing) deal(now time.Duration) {
	began := p.l.n.now()
	p.due, p.dealt = false, now
	s := p.l.n.seat.s
	p.d.UpdateStatus(now, p.l.local, s.TakeStatus(now), s.TaskCounts(now), p.d.AssignmentsSent(p.l.local))
	p.d.Dispatch(now)
	p.dealCost = p.l.n.now() - began
}

// exchange carries orders and events between the dealer and the shards.
func (p *dealing) exchange(now time.Duration) {
	s := p.l.n.seat.s
	for {
		orders, events := p.d.TakeOrders(), s.TakeEvents()
		if len(orders) == 0 && len(events) == 0 {
			return
		}
		for i := range orders {
			p.l.logOrder(&orders[i])
			if o := &orders[i]; o.To == p.l.local {
				s.HandleOrder(now, *o)
				p.l.n.owned(o)
			} else if k := p.l.links[o.To]; k != nil {
				k.out.Send(k.codec.Order(now, o))
			}
		}
		for _, e := range events {
			p.l.hear(now, p.l.local, e)
		}
	}
}

// turn lets dealer and shards settle, and sends the direct commands. Dealing
// looks at all that is open, so it is done less often the longer it takes.
func (p *dealing) turn(now time.Duration) {
	if !p.l.loaded {
		return
	}
	p.exchange(now)
	if p.due && now-p.dealt >= max(4*gather, 6*p.dealCost) {
		p.deal(now)
		p.exchange(now)
	}
	p.l.n.seat.s.Place(now)
	p.exchange(now)
	p.l.n.flush(now)
}

// showProgress tells all controllers how far the open jobs are.
func (p *dealing) showProgress() {
	m := p.progress()
	for _, k := range p.l.links {
		k.out.Send(m)
		k.told = p.told
	}
}

// progress gathers how far the open jobs are, for this controller and others.
func (p *dealing) progress() *peerpb.Down {
	p.l.n.progress = map[model.JobID]progress{}
	open := map[model.JobID]bool{}
	m := &peerpb.Progress{StateAgeUs: p.l.n.health.servedAgo(p.l.n.now()).Microseconds()}
	p.told = p.fresh
	p.l.n.vouch.SetInDoubtKnown(p.told)
	doubted := p.l.chains.doubts.Update(p.l.n.now(), p.l.chains.g)
	p.d.ForEachOpenJob(func(id model.JobID, version uint64, done, running int) {
		waits := p.d.OnHold(id)
		p.l.n.progress[id] = progress{done, running, version, waits, doubted[id]}
		open[id] = true
		m.Jobs = append(m.Jobs, &peerpb.JobProgress{Job: uint64(id), Done: int32(done), Running: int32(running),
			Version: version, Waits: waits, Doubt: doubted[id]})
	})
	p.l.n.seat.s.SetOpenJobs(open)
	return &peerpb.Down{Msg: &peerpb.Down_Progress{Progress: m}}
}

// writes are the ends of jobs and the machines' records, then progress.
func (p *dealing) writes(now time.Duration, c writequota.Class, n int) []write {
	var out []write
	switch c {
	case writequota.FinalRecords:
		for _, w := range p.d.UrgentWrites(n) {
			out = append(out, p.encode(w))
		}
	case writequota.Progress:
		for _, w := range p.d.ProgressWrites(now, n) {
			out = append(out, p.encode(w))
		}
	}
	return out
}

func (p *dealing) encode(w dispatcher.Write) write {
	out := write{done: func(now time.Duration, o outcome) {
		// A Finish is lost once the job's record is gone, a block's or a chunk's write
		// once that is at another version.
		block := w.Kind == dispatcher.PutBlock || w.Kind == dispatcher.DropBlock
		lost := o.conflict && (block || w.Kind == dispatcher.PutChunk || o.at == 0)
		if o.conflict {
			o.rev = o.at
		}
		p.d.WriteDone(now, w, o.rev, o.err == nil, lost)
		switch {
		case block && errors.Is(o.err, state.ErrInvalid):
			p.l.tooLarge(w.Block)
		case w.Kind == dispatcher.FinishJob && o.err == nil:
			p.l.n.cacheFinal(w.Job, jobs.Done)
			p.l.chains.ended(now, w.Job, pipeline.Done)
		case w.Kind == dispatcher.FinishJob && lost:
			p.l.chains.ended(now, w.Job, pipeline.Unknown)
		}
	}}
	switch w.Kind {
	case dispatcher.PutBlock:
		// Its version: applied late, this must not undo a later record.
		key := blockKey(w.Block)
		out.guards = []wire.Guard{{Key: key, Version: w.Version}}
		out.ops = []wire.Op{{Put: key, Value: encode(wire.EncodeMachines(w.Machines, p.l.n.names))}}
	case dispatcher.DropBlock:
		key := blockKey(w.Block)
		out.guards = []wire.Guard{{Key: key, Version: w.Version}}
		out.ops = []wire.Op{{Delete: key}}
	case dispatcher.PutChunk:
		ch := wire.Chunk{Part: w.Bits, From: w.FirstTask}
		if w.Chunk.OldLayout {
			ch = wire.Chunk{Bits: w.Bits}
		}
		// Its version, as above, and the job's: applied after the job's end, this must not
		// bring back what that dropped.
		key := chunkKey(w.Job, w.Chunk)
		out.guards = []wire.Guard{{Key: key, Version: w.Version}, {Key: openKeys + wire.JobName(w.Job), Version: w.JobVersion}}
		out.ops = []wire.Op{{Put: key, Value: encode(ch)}}
		out.joins = true
	case dispatcher.FinishJob:
		out.guards = []wire.Guard{{Key: openKeys + wire.JobName(w.Job), Version: w.Version}}
		out.ops = finalOps(w.Job, jobs.Done)
		room := max(0, p.l.n.cfg.Cluster.TxnOps()-len(out.ops))
		for _, c := range w.StoredChunks[:min(room, len(w.StoredChunks))] {
			out.ops = append(out.ops, wire.Op{Delete: chunkKey(w.Job, c)})
		}
		if rest := w.StoredChunks[min(room, len(w.StoredChunks)):]; len(rest) > 0 {
			p.dropAfter(&out, w.Job, rest)
		}
	}
	return out
}

// dropAfter drops the chunks that a final's transaction has no room for, once it is
// stored. What is left of them if this leader ends, the next one drops.
func (p *dealing) dropAfter(w *write, id model.JobID, chunks []dispatcher.ChunkID) {
	done := w.done
	w.done = func(now time.Duration, o outcome) {
		done(now, o)
		if o.err != nil {
			return
		}
		keys := make([]string, 0, len(chunks))
		for _, c := range chunks {
			keys = append(keys, chunkKey(id, c))
		}
		go p.dropOrphans(keys)
	}
}

// finalOps ends a job: from its open record to its final one.
func finalOps(id model.JobID, stage jobs.Stage) []wire.Op {
	name := wire.JobName(id)
	end := wire.Final{Stage: string(stage), AtMS: time.Now().UnixMilli()}
	return []wire.Op{{Delete: openKeys + name}, {Put: finalKeys + name, Value: encode(end)}}
}
