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

// dispatchLoop is the leader's part that deals tasks to the shards.
type dispatchLoop struct {
	lead       *leadership
	dispatcher *dispatcher.Dispatcher
	// openJobsAsOf is when the last question about open jobs that was answered was
	// asked: a leader that hears of no cancellations must not go on.
	openJobsAsOf time.Duration
	// openJobsView is up to when every cancellation that a user was told of is known: fresh, or
	// later by what all controllers tell. Authority goes by it.
	openJobsView cancellog.OpenJobsView
	// openWatchFailingSince: since then the state service has answered all but questions about the open
	// jobs; 0: it has not.
	openWatchFailingSince time.Duration
	progressAsOf          time.Duration // fresh when progress was last gathered
	openRevision          uint64        // the open jobs were listed at
	orphanedKeys          []string      // keys of jobs that have ended
	lastTick              time.Duration
	dispatchDue           bool // to deal
	lastDispatch          time.Duration
	// dispatchDuration is what dealing took the last time.
	dispatchDuration time.Duration
	lastBroadcast    time.Duration
	lastLoadLog      time.Duration
	recovered        bool
}

func (dl *dispatchLoop) tick(now time.Duration) {
	l := dl.lead
	if !dl.recovered && dl.dispatcher.Recovered() {
		dl.recovered = true
		l.node.log.Info("all machines of earlier terms accounted for", "term", l.term)
	}
	if now-dl.lastTick >= 100*time.Millisecond {
		dl.lastTick = now
		l.node.local.shard.Tick(now)
		dl.dispatcher.Tick(now)
		dl.dispatchDue = true
		dl.runCycle(now)
		for _, id := range dl.dispatcher.TakeBrokenJobs() {
			l.node.log.Info("job held to be broken: it fails on several machines, and is tried with one task at a time", "job",
				wire.JobName(id))
		}
	}
	if now-dl.lastBroadcast >= time.Second {
		dl.lastBroadcast = now
		dl.broadcastProgress()
	}
	if now-dl.lastLoadLog >= loadLogInterval {
		dl.lastLoadLog = now
		dl.logLoad()
	}
}

// dispatch deals tasks with what the shards have told of their room, once their
// events have been exchanged.
func (dl *dispatchLoop) dispatch(now time.Duration) {
	began := dl.lead.node.now()
	dl.dispatchDue, dl.lastDispatch = false, now
	s := dl.lead.node.local.shard
	dl.dispatcher.UpdateStatus(now, dl.lead.localID, s.TakeStatus(now), s.TaskCounts(now),
		dl.dispatcher.AssignmentsSent(dl.lead.localID))
	dl.dispatcher.Dispatch(now)
	dl.dispatchDuration = dl.lead.node.now() - began
}

// exchangeMessages carries orders and events between the dealer and the shards.
func (dl *dispatchLoop) exchangeMessages(now time.Duration) {
	s := dl.lead.node.local.shard
	for {
		orders, events := dl.dispatcher.TakeOrders(), s.TakeEvents()
		if len(orders) == 0 && len(events) == 0 {
			return
		}
		for i := range orders {
			dl.lead.logOrder(&orders[i])
			if o := &orders[i]; o.To == dl.lead.localID {
				s.HandleOrder(now, *o)
				dl.lead.node.wakeOwned(o)
			} else if k := dl.lead.links[o.To]; k != nil {
				k.queue.Send(k.codec.Order(now, o))
			}
		}
		for _, e := range events {
			dl.lead.handleEvent(now, dl.lead.localID, e)
		}
	}
}

// runCycle lets dealer and shards settle, and sends the direct commands. Dealing
// looks at all that is open, so it is done less often the longer it takes.
func (dl *dispatchLoop) runCycle(now time.Duration) {
	if !dl.lead.loaded {
		return
	}
	dl.exchangeMessages(now)
	if dl.dispatchDue && now-dl.lastDispatch >= max(4*cycleDelay, 6*dl.dispatchDuration) {
		dl.dispatch(now)
		dl.exchangeMessages(now)
	}
	dl.lead.node.local.shard.Place(now)
	dl.exchangeMessages(now)
	dl.lead.node.sendDirects(now)
}

// broadcastProgress tells all controllers how far the open jobs are.
func (dl *dispatchLoop) broadcastProgress() {
	message := dl.collectProgress()
	for _, memberLink := range dl.lead.links {
		memberLink.queue.Send(message)
		memberLink.progressAsOf = dl.progressAsOf
	}
}

// collectProgress gathers how far the open jobs are, for this controller and others.
func (dl *dispatchLoop) collectProgress() *peerpb.Down {
	dl.lead.node.progress = map[model.JobID]jobProgress{}
	open := map[model.JobID]bool{}
	progress := &peerpb.Progress{StateAgeUs: dl.lead.node.health.sinceServed(dl.lead.node.now()).Microseconds()}
	dl.progressAsOf = dl.openJobsAsOf
	dl.lead.node.statusFreshness.SetInDoubtKnown(dl.progressAsOf)
	inDoubt := dl.lead.dependencies.inDoubt.Update(dl.lead.node.now(), dl.lead.dependencies.graph)
	dl.dispatcher.ForEachOpenJob(func(id model.JobID, version uint64, done, running int) {
		onHold := dl.dispatcher.OnHold(id)
		dl.lead.node.progress[id] = jobProgress{done, running, version, onHold, inDoubt[id]}
		open[id] = true
		progress.Jobs = append(progress.Jobs, &peerpb.JobProgress{Job: uint64(id), Done: int32(done), Running: int32(running),
			Version: version, Waits: onHold, Doubt: inDoubt[id]})
	})
	dl.lead.node.local.shard.SetOpenJobs(open)
	return &peerpb.Down{Msg: &peerpb.Down_Progress{Progress: progress}}
}

// writes are the ends of jobs and the machines' records, then progress.
func (dl *dispatchLoop) writes(now time.Duration, class writequota.Class, limit int) []storeWrite {
	var out []storeWrite
	switch class {
	case writequota.FinalRecords:
		for _, w := range dl.dispatcher.UrgentWrites(limit) {
			out = append(out, dl.encodeWrite(w))
		}
	case writequota.Progress:
		for _, w := range dl.dispatcher.ProgressWrites(now, limit) {
			out = append(out, dl.encodeWrite(w))
		}
	}
	return out
}

func (dl *dispatchLoop) encodeWrite(w dispatcher.Write) storeWrite {
	out := storeWrite{onDone: func(now time.Duration, o writeOutcome) {
		// A Finish is lost once the job's record is gone, a block's or a chunk's write
		// once that is at another version.
		block := w.Kind == dispatcher.PutBlock || w.Kind == dispatcher.DropBlock
		lost := o.conflict && (block || w.Kind == dispatcher.PutChunk || o.foundVersion == 0)
		if o.conflict {
			o.revision = o.foundVersion
		}
		dl.dispatcher.WriteDone(now, w, o.revision, o.err == nil, lost)
		switch {
		case block && errors.Is(o.err, state.ErrInvalid):
			dl.lead.shrinkBlocks(w.Block)
		case w.Kind == dispatcher.FinishJob && o.err == nil:
			dl.lead.node.addFinalLocked(w.Job, jobs.Done)
			dl.lead.dependencies.jobEnded(now, w.Job, pipeline.Done)
		case w.Kind == dispatcher.FinishJob && lost:
			dl.lead.dependencies.jobEnded(now, w.Job, pipeline.Unknown)
		}
	}}
	switch w.Kind {
	case dispatcher.PutBlock:
		// Its version: applied late, this must not undo a later record.
		key := blockKey(w.Block)
		out.guards = []wire.Guard{{Key: key, Version: w.Version}}
		out.ops = []wire.Op{{Put: key, Value: mustEncode(wire.EncodeMachines(w.Machines, dl.lead.node.names))}}
	case dispatcher.DropBlock:
		key := blockKey(w.Block)
		out.guards = []wire.Guard{{Key: key, Version: w.Version}}
		out.ops = []wire.Op{{Delete: key}}
	case dispatcher.PutChunk:
		chunk := wire.Chunk{Part: w.Bits, From: w.FirstTask}
		if w.Chunk.OldLayout {
			chunk = wire.Chunk{Bits: w.Bits}
		}
		// Its version, as above, and the job's: applied after the job's end, this must not
		// bring back what that dropped.
		key := chunkKey(w.Job, w.Chunk)
		out.guards = []wire.Guard{{Key: key, Version: w.Version},
			{Key: openPrefix + wire.JobName(w.Job), Version: w.JobVersion}}
		out.ops = []wire.Op{{Put: key, Value: mustEncode(chunk)}}
		out.batchable = true
	case dispatcher.FinishJob:
		out.guards = []wire.Guard{{Key: openPrefix + wire.JobName(w.Job), Version: w.Version}}
		out.ops = finalOps(w.Job, jobs.Done)
		freeOps := max(0, dl.lead.node.cfg.Cluster.TxnOps()-len(out.ops))
		for _, c := range w.StoredChunks[:min(freeOps, len(w.StoredChunks))] {
			out.ops = append(out.ops, wire.Op{Delete: chunkKey(w.Job, c)})
		}
		if remaining := w.StoredChunks[min(freeOps, len(w.StoredChunks)):]; len(remaining) > 0 {
			dl.deleteChunksAfter(&out, w.Job, remaining)
		}
	}
	return out
}

// deleteChunksAfter drops the chunks that a final's transaction has no room for, once it is
// stored. What is left of them if this leader ends, the next one drops.
func (dl *dispatchLoop) deleteChunksAfter(w *storeWrite, id model.JobID, chunks []dispatcher.ChunkID) {
	previous := w.onDone
	w.onDone = func(now time.Duration, o writeOutcome) {
		previous(now, o)
		if o.err != nil {
			return
		}
		keys := make([]string, 0, len(chunks))
		for _, c := range chunks {
			keys = append(keys, chunkKey(id, c))
		}
		go dl.deleteOrphans(keys)
	}
}

// finalOps ends a job: from its open record to its final one.
func finalOps(id model.JobID, stage jobs.Stage) []wire.Op {
	name := wire.JobName(id)
	end := wire.Final{Stage: string(stage), AtMS: time.Now().UnixMilli()}
	return []wire.Op{{Delete: openPrefix + name}, {Put: finalPrefix + name, Value: mustEncode(end)}}
}
