package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"honeylock/internal/core/cancellog"
	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/model"
	"honeylock/internal/core/pipeline"
	"honeylock/internal/core/ratelimit"
	"honeylock/internal/exactjson"
	"honeylock/internal/state"
	"honeylock/internal/wire"
)

// storedJob is an open job as stored, with the version of its open record.
type storedJob struct {
	submission *wire.Submission
	version    uint64
}

// listOpen lists the stored open jobs, and the revision that they were listed at.
func (dl *dispatchLoop) listOpen() (map[model.JobID]storedJob, uint64, error) {
	open := map[model.JobID]storedJob{}
	revision, err := dl.lead.node.state.List(state.WithClass(dl.lead.ctx, ratelimit.Leader), openPrefix,
		func(item *wire.Item) error {
			id, submission, err := parseOpenRecord(item.Key, item.Value)
			if err != nil {
				return err
			}
			open[id] = storedJob{submission, item.Version}
			return nil
		})
	return open, revision, err
}

// parseOpenRecord parses an open record. The submission is nil if the record has no value because it was
// deleted.
func parseOpenRecord(key string, value json.RawMessage) (model.JobID, *wire.Submission, error) {
	id, err := wire.ParseJob(strings.TrimPrefix(key, openPrefix))
	if err != nil {
		return 0, nil, fmt.Errorf("open record: %w", err)
	}
	if value == nil {
		return id, nil, nil
	}
	var submission wire.Submission
	if err := exactjson.Unmarshal(value, &submission); err != nil {
		return 0, nil, fmt.Errorf("open record %s: %w", key, err)
	}
	return id, &submission, nil
}

// storedBlock is a stored block of machine records.
type storedBlock struct {
	wire.MachineBlock
	blockID dispatcher.BlockID
	version uint64
}

// storedChunk is a stored chunk of a job's progress.
type storedChunk struct {
	job       model.JobID
	chunk     dispatcher.ChunkID
	firstTask int32 // index of the task of its first bit
	bits      []byte
	version   uint64 // of the record
}

// read reads the machine records, the open jobs and their progress.
func (dl *dispatchLoop) read(ctx context.Context) (func(time.Duration) error, error) {
	blocks, err := dl.readBlocks(ctx)
	if err != nil {
		return nil, err
	}
	askedAt := dl.lead.node.now()
	open, revision, err := dl.listOpen()
	if err != nil {
		return nil, err
	}
	chunks, orphans, err := dl.readChunks(ctx, open)
	if err != nil {
		return nil, err
	}
	return func(now time.Duration) error {
		n := dl.lead.node
		machines := 0
		for _, block := range blocks {
			decoded, err := block.Decode(n.names)
			if err != nil {
				return fmt.Errorf("machine records: %w", err)
			}
			machines += len(decoded)
			dl.dispatcher.AddStoredBlock(block.blockID, block.version, decoded)
		}
		if size := currentLayout(blocks, dl.dispatcher.Layout()); size != 0 {
			dl.lead.changeLayout(size)
		}
		for id := range n.previousMachines {
			dl.dispatcher.HandleEvent(now, dl.lead.localID, model.Event{Kind: model.MachineRemembered, Machine: id})
		}
		cancelled, _ := n.cancelLog.EntriesFrom(0) // some may be newer than the list of open jobs
		for _, id := range cancelled {
			dl.openJobsView.AddCancelled(now, id)
		}
		for _, stored := range open {
			dl.addJob(now, stored, -time.Hour) // ends of its dependencies may have been acknowledged long ago
		}
		dl.lead.dependencies.applyDecisions(now)
		for _, chunk := range chunks {
			dl.dispatcher.AddDoneChunk(chunk.job, chunk.chunk, chunk.version, chunk.firstTask, chunk.bits)
		}
		dl.openRevision, dl.orphanedKeys = revision, orphans
		dl.markOpenJobsRead(now, askedAt)
		n.log.Info("stored state read", "term", dl.lead.term, "revision", revision,
			"asked_ago", now-askedAt, "open", len(open), "machines", machines)
		return nil
	}, nil
}

// readBlocks lists the blocks of machine records, those in the newest layout first.
func (dl *dispatchLoop) readBlocks(ctx context.Context) ([]storedBlock, error) {
	var blocks []storedBlock
	_, err := dl.lead.node.state.List(ctx, machinePrefix, func(item *wire.Item) error {
		block := storedBlock{version: item.Version}
		var err error
		if block.blockID, err = parseBlockKey(item.Key); err != nil {
			return err
		}
		if err := exactjson.Unmarshal(item.Value, &block.MachineBlock); err != nil {
			return fmt.Errorf("machine records %s: %w", item.Key, err)
		}
		blocks = append(blocks, block)
		return nil
	})
	// A machine that is in two blocks counts as recorded in the newest layout, so that comes first.
	slices.SortStableFunc(blocks, func(a, b storedBlock) int {
		return cmp.Compare(layoutOrder(a.blockID), layoutOrder(b.blockID))
	})
	return blocks, err
}

// layoutOrder orders layouts from newest to oldest: newer layouts always have smaller blocks.
func layoutOrder(id dispatcher.BlockID) uint64 {
	if id.Size == 0 {
		return math.MaxUint64
	}
	return id.Size
}

// currentLayout returns the layout that the records were last written in, 0 for that of 0.4. A single
// record in a later layout shows that all controllers can read it.
func currentLayout(blocks []storedBlock, planned uint64) uint64 {
	size := planned
	for _, block := range blocks {
		if s := block.blockID.Size; s != 0 && (size == 0 || s < size) {
			size = s
		}
	}
	return size
}

// readChunks lists the progress of the open jobs, and the keys of orphaned progress of ended jobs.
func (dl *dispatchLoop) readChunks(ctx context.Context,
	open map[model.JobID]storedJob) (chunks []storedChunk, orphans []string, err error) {
	_, err = dl.lead.node.state.List(ctx, donePrefix, func(item *wire.Item) error {
		id, chunkID, err := parseChunkKey(item.Key)
		if err != nil {
			return fmt.Errorf("done record %s: %w", item.Key, err)
		}
		if _, ok := open[id]; !ok {
			orphans = append(orphans, item.Key)
			return nil
		}
		var chunk wire.Chunk
		if err := exactjson.Unmarshal(item.Value, &chunk); err != nil {
			return fmt.Errorf("done record %s: %w", item.Key, err)
		}
		if chunkID.OldLayout {
			chunks = append(chunks, storedChunk{id, chunkID,
				chunkID.Index * chunkSize(dl.lead.node.cfg.Cluster.State.ValueKB), chunk.Bits, item.Version})
		} else {
			chunks = append(chunks, storedChunk{id, chunkID, chunk.From, chunk.Part, item.Version})
		}
		return nil
	})
	return chunks, orphans, err
}

// run deletes orphaned progress in the background and watches the open jobs.
func (dl *dispatchLoop) run() {
	if len(dl.orphanedKeys) > 0 {
		go dl.deleteOrphans(dl.orphanedKeys)
	}
	dl.watchOpen(dl.openRevision)
}

// deleteOrphans deletes stored progress of ended jobs. What fails is left to the next leader.
func (dl *dispatchLoop) deleteOrphans(keys []string) {
	for _, key := range keys {
		if _, err := dl.lead.node.state.Txn(dl.lead.ctx, wire.Txn{Guards: []wire.Guard{dl.lead.guard},
			Then: []wire.Op{{Delete: key}}}); err != nil {
			dl.lead.node.log.Debug("failed to delete stored progress of an ended job", "key", key, "err", err)
		}
	}
}

// addJob adds a stored open job, unless its cancellation is known already. A job that was stored before
// this term's leader key may have tasks on machines. since is the earliest time at which the end of one
// of its dependencies may have been acknowledged to a user.
func (dl *dispatchLoop) addJob(now time.Duration, stored storedJob, since time.Duration) {
	waited := time.Duration(max(0, time.Now().UnixMilli()-stored.submission.SubmittedMS)) * time.Millisecond
	spec := stored.submission.Spec(dl.lead.node.names)
	if dl.openJobsView.IsCancelled(spec.ID) {
		return
	}
	dl.dispatcher.AddJob(now, spec, stored.version, min(waited, time.Hour), stored.version <= dl.lead.guard.Version)
	dl.lead.dependencies.addJob(spec, stored.submission.Dependencies(), since)
}

// watchOpen applies changes of the open jobs, starting after a revision, until the term ends.
func (dl *dispatchLoop) watchOpen(revision uint64) {
	n := dl.lead.node
	for dl.lead.ctx.Err() == nil {
		askedAt := n.now()
		response, err := n.state.Watch(dl.lead.ctx, openPrefix, revision, 2*time.Second)
		if errors.Is(err, state.ErrCompacted) {
			relistedRevision, termOver, listErr := dl.relist()
			if termOver {
				return
			}
			if listErr == nil {
				revision = relistedRevision
				continue
			}
			err = listErr
		}
		if dl.lead.ctx.Err() == nil {
			n.failures.record("failed to watch the open jobs", err)
		}
		if err != nil {
			sleep(dl.lead.ctx, 300*time.Millisecond)
			continue
		}
		revision = response.Revision
		n.mu.Lock()
		if n.lead != dl.lead {
			// The term ended while the watch waited, so there may be no local shard any more.
			n.mu.Unlock()
			return
		}
		dl.applyOpenEvents(n.now(), askedAt, response.Events)
		n.mu.Unlock()
	}
}

// applyOpenEvents applies changes of the open jobs that answer a request sent at askedAt.
func (dl *dispatchLoop) applyOpenEvents(now, askedAt time.Duration, events []wire.Event) {
	n := dl.lead.node
	for _, event := range events {
		key := event.Put + event.Delete
		id, submission, err := parseOpenRecord(key, event.Value)
		switch {
		case err != nil:
			n.log.Error("failed to decode an open record", "key", key, "err", err)
		case event.Put != "":
			dl.addJob(now, storedJob{submission, event.Version}, dl.openJobsAsOf)
		default:
			dl.dispatcher.JobRemoved(id)
			dl.lead.dependencies.jobEnded(now, id, pipeline.Unknown)
		}
	}
	dl.lead.dependencies.applyDecisions(now)
	dl.markOpenJobsRead(now, askedAt)
	if len(events) > 0 {
		dl.dispatchDue = true
		n.requestCycle()
	}
}

// markOpenJobsRead records that the open jobs are known as of askedAt, which extends this leader's
// authority. It first sends the orders that follow from what was read: otherwise a shard could get a
// grant that is based on this view, lose its link, and act without those orders.
func (dl *dispatchLoop) markOpenJobsRead(now, askedAt time.Duration) {
	dl.exchangeMessages(now)
	dl.openJobsAsOf = askedAt
	dl.openJobsView.Read(askedAt)
}

// applyCancellation ends a job whose cancellation a controller has acknowledged to a user.
func (dl *dispatchLoop) applyCancellation(now time.Duration, id model.JobID) {
	if !dl.openJobsView.AddCancelled(now, id) || dl.dispatcher.JobVersion(id) == 0 {
		return
	}
	dl.dispatcher.JobRemoved(id)
	dl.lead.dependencies.jobEnded(now, id, pipeline.Cancelled)
	dl.dispatchDue = true
	dl.lead.node.requestCycle()
}

// openWatchFailureLimit is how long the state service may be reachable without answering a leader's
// requests about the open jobs. It covers several requests, each of which may take seconds.
const openWatchFailureLimit = 10 * time.Second

// openWatchFailing reports whether the state service has long been reachable for this leader without
// answering its requests about the open jobs. Another leader may then learn of new submissions. In an
// outage of the state service no leader would, so an outage does not count.
func (dl *dispatchLoop) openWatchFailing(now time.Duration) bool {
	if now-dl.openJobsAsOf <= dl.lead.node.cfg.Cluster.StalenessBound() || dl.lead.node.health.stateUnreachable(now) {
		dl.openWatchFailingSince = 0
		return false
	}
	if dl.openWatchFailingSince == 0 {
		dl.openWatchFailingSince = now
	}
	return now-dl.openWatchFailingSince > openWatchFailureLimit
}

// updateOpenJobsView extends the validity of the view of the open jobs by the cancellations that all other
// controllers have reported. It needs a link to each of them.
func (dl *dispatchLoop) updateOpenJobsView(now time.Duration) {
	var coverages []cancellog.Coverage
	for _, sibling := range dl.lead.node.cfg.Siblings {
		memberLink := dl.lead.linkTo(sibling.HostName)
		if memberLink == nil || !memberLink.reportsCancellations {
			return
		}
		coverages = append(coverages, memberLink.coverage)
	}
	dl.exchangeMessages(now) // before authority is extended, as in markOpenJobsRead
	dl.openJobsView.ApplyCoverage(now, coverages)
}

// relist reads all open jobs again after the watch has fallen too far behind. termOver is true if the
// term has ended meanwhile.
func (dl *dispatchLoop) relist() (revision uint64, termOver bool, err error) {
	n := dl.lead.node
	askedAt := n.now()
	open, revision, err := dl.listOpen()
	if err != nil {
		return 0, false, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lead != dl.lead {
		return 0, true, nil
	}
	now := n.now()
	stillOpen := map[model.JobID]bool{}
	for id, stored := range open {
		stillOpen[id] = true
		dl.addJob(now, stored, dl.openJobsAsOf)
	}
	for _, id := range dl.dispatcher.SyncOpenJobs(stillOpen, revision) {
		dl.lead.dependencies.jobEnded(now, id, pipeline.Unknown)
	}
	dl.lead.dependencies.applyDecisions(now)
	dl.markOpenJobsRead(now, askedAt)
	dl.dispatchDue = true
	n.requestCycle()
	return revision, false, nil
}
