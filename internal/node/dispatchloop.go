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

// dispatchLoop is the leader's component that dispatches tasks to the shards, follows the open jobs and
// stores jobs' ends, progress and machines' records.
type dispatchLoop struct {
	lead       *leadership
	dispatcher *dispatcher.Dispatcher
	// openJobsAsOf is when the newest answered request about the open jobs was sent. A leader
	// that learns of no cancellations must not go on.
	openJobsAsOf time.Duration
	// openJobsView holds the time up to which every cancellation that was acknowledged to a user
	// is known: openJobsAsOf, or later if all controllers report their acknowledgements. It
	// limits this leader's authority.
	openJobsView cancellog.OpenJobsView
	// openWatchFailingSince is since when the state service has been reachable without answering
	// this leader's requests about the open jobs; 0 if it answers them or can't be reached.
	openWatchFailingSince time.Duration
	progressAsOf          time.Duration // openJobsAsOf when progress was last collected
	openRevision          uint64        // revision at which the open jobs were listed
	orphanedKeys          []string      // stored progress of jobs that have ended
	lastTick              time.Duration
	dispatchDue           bool // there may be tasks to dispatch
	lastDispatch          time.Duration
	// dispatchDuration is how long the last dispatch took.
	dispatchDuration time.Duration
	lastBroadcast    time.Duration
	lastLoadLog      time.Duration
	recovered        bool // all machines of earlier terms are accounted for
}

// tick advances the dispatcher and the leader's own shard, and sends progress and logs the load at their
// intervals.
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
			l.node.log.Info("job considered broken: it fails on several machines, so it runs one task at a time",
				"job", wire.JobName(id))
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

// dispatch assigns waiting tasks to shards by the free capacity that they last reported. The shards'
// events must have been exchanged before.
func (dl *dispatchLoop) dispatch(now time.Duration) {
	began := dl.lead.node.now()
	dl.dispatchDue, dl.lastDispatch = false, now
	s := dl.lead.node.local.shard
	dl.dispatcher.UpdateStatus(now, dl.lead.localID, s.TakeStatus(now), s.TaskCounts(now),
		dl.dispatcher.AssignmentsSent(dl.lead.localID))
	dl.dispatcher.Dispatch(now)
	dl.dispatchDuration = dl.lead.node.now() - began
}

// exchangeMessages passes the dispatcher's orders to the shards, and the events of the leader's own shard
// to the dispatcher, until there are no more.
func (dl *dispatchLoop) exchangeMessages(now time.Duration) {
	local := dl.lead.node.local.shard
	for {
		orders, events := dl.dispatcher.TakeOrders(), local.TakeEvents()
		if len(orders) == 0 && len(events) == 0 {
			return
		}
		for i := range orders {
			dl.lead.logOrder(&orders[i])
			if o := &orders[i]; o.To == dl.lead.localID {
				local.HandleOrder(now, *o)
				dl.lead.node.wakeOwned(o)
			} else if memberLink := dl.lead.links[o.To]; memberLink != nil {
				memberLink.queue.Send(memberLink.codec.Order(now, o))
			}
		}
		for _, e := range events {
			dl.lead.handleEvent(now, dl.lead.localID, e)
		}
	}
}

// runCycle exchanges messages, dispatches and places tasks, and sends the direct commands. Dispatching
// inspects all open jobs, so the longer it takes, the less often it is done.
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

// broadcastProgress sends the open jobs' progress to all members.
func (dl *dispatchLoop) broadcastProgress() {
	message := dl.collectProgress()
	for _, memberLink := range dl.lead.links {
		memberLink.queue.Send(message)
		memberLink.progressAsOf = dl.progressAsOf
	}
}

// collectProgress collects the open jobs' progress. It stores it in the node, for this controller's own
// users, and returns it as a message for the members.
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

// writes returns jobs' ends and machines' records in the most urgent class, and jobs' progress in its own
// class.
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

// encodeWrite turns a write of the dispatcher into a transaction and handles its outcome.
func (dl *dispatchLoop) encodeWrite(w dispatcher.Write) storeWrite {
	out := storeWrite{onDone: func(now time.Duration, o writeOutcome) {
		// A lost write can't succeed any more: a FinishJob write if the job's open record is
		// gone, a write of a block or a chunk if its record is at another version.
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
		// The guard on its version keeps a delayed write from undoing a later one.
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
		// The guard on the chunk's version is as above. The guard on the job's version keeps a
		// delayed write from restoring a chunk that was deleted with the job's end.
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

// deleteChunksAfter makes w, the write that ends a job, delete the chunks that don't fit into its own
// transaction once that is stored. If the term ends before, the next leader deletes them as orphans.
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

// finalOps returns the operations that end a job: its final record replaces its open record.
func finalOps(id model.JobID, stage jobs.Stage) []wire.Op {
	name := wire.JobName(id)
	end := wire.Final{Stage: string(stage), AtMS: time.Now().UnixMilli()}
	return []wire.Op{{Delete: openPrefix + name}, {Put: finalPrefix + name, Value: mustEncode(end)}}
}
