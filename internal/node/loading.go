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
	"honeylock/internal/state"
	"honeylock/internal/wire"
)

type stored struct {
	sub     *wire.Submission
	version uint64
}

// readOpen lists the open jobs.
func (p *dealing) readOpen() (map[model.JobID]stored, uint64, error) {
	open := map[model.JobID]stored{}
	rev, err := p.l.n.state.List(state.As(p.l.ctx, ratelimit.Leader), openKeys, func(it *wire.Item) error {
		id, sub, err := openRecord(it.Key, it.Value)
		if err != nil {
			return err
		}
		open[id] = stored{sub, it.Version}
		return nil
	})
	return open, rev, err
}

func openRecord(key string, v json.RawMessage) (model.JobID, *wire.Submission, error) {
	id, err := wire.ParseJob(strings.TrimPrefix(key, openKeys))
	if err != nil {
		return 0, nil, fmt.Errorf("open record: %w", err)
	}
	if v == nil {
		return id, nil, nil
	}
	var sub wire.Submission
	if err := json.Unmarshal(v, &sub); err != nil {
		return 0, nil, fmt.Errorf("open record %s: %w", key, err)
	}
	return id, &sub, nil
}

type storedBlock struct {
	wire.MachineBlock
	id      dispatcher.BlockID
	version uint64
}

type storedChunk struct {
	id    model.JobID
	chunk dispatcher.ChunkID
	from  int32 // the task of its first bit
	bits  []byte
	// version of the record
	version uint64
}

// read gets the machines' records, the open jobs and what is done of them.
func (p *dealing) read(ctx context.Context) (func(time.Duration) error, error) {
	recs, err := p.readBlocks(ctx)
	if err != nil {
		return nil, err
	}
	asked := p.l.n.now()
	open, rev, err := p.readOpen()
	if err != nil {
		return nil, err
	}
	parts, orphans, err := p.readDone(ctx, open)
	if err != nil {
		return nil, err
	}
	return func(now time.Duration) error {
		n := p.l.n
		machines := 0
		for _, r := range recs {
			ms, err := r.Decode(n.names)
			if err != nil {
				return fmt.Errorf("machine records: %w", err)
			}
			machines += len(ms)
			p.d.AddStoredBlock(r.id, r.version, ms)
		}
		if size := layoutOf(recs, p.d.Layout()); size != 0 {
			p.l.relay(size)
		}
		for id := range n.kept {
			p.d.HandleEvent(now, p.l.local, model.Event{Kind: model.MachineRemembered, Machine: id})
		}
		told, _ := n.told.EntriesFrom(0) // some perhaps since that was asked
		for _, id := range told {
			p.picture.AddCancelled(now, id)
		}
		for _, st := range open {
			p.add(now, st, -time.Hour) // users may have been told long ago
		}
		p.l.chains.settle(now)
		for _, c := range parts {
			p.d.AddDoneChunk(c.id, c.chunk, c.version, c.from, c.bits)
		}
		p.rev, p.orphans = rev, orphans
		p.seen(now, asked)
		n.log.Info("store read", "term", p.l.term, "revision", rev,
			"asked_ago", now-asked, "open", len(open), "machines", machines)
		return nil
	}, nil
}

func (p *dealing) readBlocks(ctx context.Context) ([]storedBlock, error) {
	var recs []storedBlock
	_, err := p.l.n.state.List(ctx, recordKeys, func(it *wire.Item) error {
		r := storedBlock{version: it.Version}
		var err error
		if r.id, err = parseBlockKey(it.Key); err != nil {
			return err
		}
		if err := json.Unmarshal(it.Value, &r.MachineBlock); err != nil {
			return fmt.Errorf("machine records %s: %w", it.Key, err)
		}
		recs = append(recs, r)
		return nil
	})
	// The newest layout first: a machine that stands in two counts as recorded there.
	slices.SortStableFunc(recs, func(a, b storedBlock) int { return cmp.Compare(layoutAge(a.id), layoutAge(b.id)) })
	return recs, err
}

// layoutAge orders layouts: they have only ever become smaller.
func layoutAge(id dispatcher.BlockID) uint64 {
	if id.Size == 0 {
		return math.MaxUint64
	}
	return id.Size
}

// layoutOf is the layout that the records were last written in, 0: that of 0.4. One
// record of a later layout shows that all controllers could read it.
func layoutOf(recs []storedBlock, planned uint64) uint64 {
	size := planned
	for _, r := range recs {
		if s := r.id.Size; s != 0 && (size == 0 || s < size) {
			size = s
		}
	}
	return size
}

// readDone lists what is done of the open jobs, and the keys of others.
func (p *dealing) readDone(ctx context.Context, open map[model.JobID]stored) (parts []storedChunk, orphans []string,
	err error) {
	_, err = p.l.n.state.List(ctx, doneKeys, func(it *wire.Item) error {
		id, c, err := parseChunkKey(it.Key)
		if err != nil {
			return fmt.Errorf("done record %s: %w", it.Key, err)
		}
		if _, ok := open[id]; !ok {
			orphans = append(orphans, it.Key)
			return nil
		}
		var ch wire.Chunk
		if err := json.Unmarshal(it.Value, &ch); err != nil {
			return fmt.Errorf("done record %s: %w", it.Key, err)
		}
		if c.OldLayout {
			parts = append(parts, storedChunk{id, c, c.Index * chunkSize(p.l.n.cfg.Cluster.State.ValueKB), ch.Bits, it.Version})
		} else {
			parts = append(parts, storedChunk{id, c, ch.From, ch.Part, it.Version})
		}
		return nil
	})
	return parts, orphans, err
}

// run watches the open jobs.
func (p *dealing) run() {
	if len(p.orphans) > 0 {
		go p.dropOrphans(p.orphans)
	}
	p.follow(p.rev)
}

func (p *dealing) dropOrphans(keys []string) {
	for _, k := range keys {
		if _, err := p.l.n.state.Txn(p.l.ctx, wire.Txn{Guards: []wire.Guard{p.l.guard},
			Then: []wire.Op{{Delete: k}}}); err != nil {
			p.l.n.log.Debug("orphan not dropped", "key", k, "err", err)
		}
	}
}

// add takes an open record. What was stored before this term's key may have
// tasks on machines.
// An end of a job that it awaits may have been told since.
func (p *dealing) add(now time.Duration, st stored, since time.Duration) {
	waited := time.Duration(max(0, time.Now().UnixMilli()-st.sub.SubmittedMS)) * time.Millisecond
	sp := st.sub.Spec(p.l.n.names)
	if p.picture.IsCancelled(sp.ID) {
		return
	}
	p.d.AddJob(now, sp, st.version, min(waited, time.Hour), st.version <= p.l.guard.Version)
	p.l.chains.add(sp, st.sub.Needs(), since)
}

// follow watches the open jobs.
func (p *dealing) follow(rev uint64) {
	n := p.l.n
	for p.l.ctx.Err() == nil {
		asked := n.now()
		ev, err := n.state.Watch(p.l.ctx, openKeys, rev, 2*time.Second)
		if errors.Is(err, state.ErrCompacted) {
			r, over, lerr := p.relist()
			if over {
				return
			}
			if lerr == nil {
				rev = r
				continue
			}
			err = lerr
		}
		if p.l.ctx.Err() == nil {
			n.complaints.note("open jobs not followed", err)
		}
		if err != nil {
			sleep(p.l.ctx, 300*time.Millisecond)
			continue
		}
		rev = ev.Revision
		n.mu.Lock()
		if n.lead != p.l {
			// The term ended while the watch waited: there may be no shard now.
			n.mu.Unlock()
			return
		}
		p.changed(n.now(), asked, ev.Events)
		n.mu.Unlock()
	}
}

// changed takes what has changed among the open jobs, as a question asked then was answered.
func (p *dealing) changed(now, asked time.Duration, events []wire.Event) {
	n := p.l.n
	for _, e := range events {
		key := e.Put + e.Delete
		id, sub, err := openRecord(key, e.Value)
		switch {
		case err != nil:
			n.log.Error("open record unreadable", "key", key, "err", err)
		case e.Put != "":
			p.add(now, stored{sub, e.Version}, p.fresh)
		default:
			p.d.JobRemoved(id)
			p.l.chains.ended(now, id, pipeline.Unknown)
		}
	}
	p.l.chains.settle(now)
	p.seen(now, asked)
	if len(events) > 0 {
		p.due = true
		n.soon()
	}
}

// seen takes that the open jobs are known as of when it was asked. Authority lasts longer
// from here on, so what was learned goes out first: a shard with a grant that rests on this
// picture, and that hears nothing more, would act on without it.
func (p *dealing) seen(now, asked time.Duration) {
	p.exchange(now)
	p.fresh = asked
	p.picture.Read(asked)
}

// cancelled takes a controller's word that it told a user of a cancellation.
func (p *dealing) cancelled(now time.Duration, id model.JobID) {
	if !p.picture.AddCancelled(now, id) || p.d.JobVersion(id) == 0 {
		return
	}
	p.d.JobRemoved(id)
	p.l.chains.ended(now, id, pipeline.Cancelled)
	p.due = true
	p.l.n.soon()
}

// blindFor is how long the state service may serve a leader without news of the open jobs:
// some questions, each of which takes seconds.
const blindFor = 10 * time.Second

// blind tells that the state service answers this leader, yet not what it asks about the
// open jobs: another one may learn of what was submitted. In an outage nobody does.
func (p *dealing) blind(now time.Duration) bool {
	if now-p.fresh <= p.l.n.cfg.Cluster.StalenessBound() || p.l.n.health.missing(now) {
		p.blindSince = 0
		return false
	}
	if p.blindSince == 0 {
		p.blindSince = now
	}
	return now-p.blindSince > blindFor
}

// listen brings the picture up to what all controllers have told, as this one knows it.
func (p *dealing) listen(now time.Duration) {
	var words []cancellog.Coverage
	for _, s := range p.l.n.cfg.Siblings {
		k := p.l.linkTo(s.HostName)
		if k == nil || !k.tells {
			return
		}
		words = append(words, k.word)
	}
	p.exchange(now) // as for what was seen
	p.picture.ApplyCoverage(now, words)
}

// relist reads all open jobs, where the watch has fallen behind; over tells that
// the term ended meanwhile.
func (p *dealing) relist() (rev uint64, over bool, err error) {
	n := p.l.n
	asked := n.now()
	open, rev, err := p.readOpen()
	if err != nil {
		return 0, false, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lead != p.l {
		return 0, true, nil
	}
	now := n.now()
	known := map[model.JobID]bool{}
	for id, st := range open {
		known[id] = true
		p.add(now, st, p.fresh)
	}
	for _, id := range p.d.SyncOpenJobs(known, rev) {
		p.l.chains.ended(now, id, pipeline.Unknown)
	}
	p.l.chains.settle(now)
	p.seen(now, asked)
	p.due = true
	n.soon()
	return rev, false, nil
}
