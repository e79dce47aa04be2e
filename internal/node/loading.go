package node

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"honeylock/internal/core/model"
	"honeylock/internal/core/pace"
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
	rev, err := p.l.n.state.List(state.As(p.l.ctx, pace.Leader), openKeys, func(it *wire.Item) error {
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
	version uint64
}

type storedChunk struct {
	id    model.JobID
	chunk int32
	bits  []byte
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
			for _, m := range ms {
				p.d.Recorded(m, r.version)
			}
		}
		for id := range n.kept {
			p.d.Event(now, p.l.local, model.Event{Kind: model.Remembered, Machine: id})
		}
		for _, st := range open {
			p.add(now, st)
		}
		for _, c := range parts {
			p.d.AddDone(c.id, c.chunk, c.bits)
		}
		p.fresh, p.rev, p.orphans = asked, rev, orphans
		n.log.Info("store read", "term", p.l.term, "open", len(open), "machines", machines)
		return nil
	}, nil
}

func (p *dealing) readBlocks(ctx context.Context) ([]storedBlock, error) {
	var recs []storedBlock
	_, err := p.l.n.state.List(ctx, recordKeys, func(it *wire.Item) error {
		r := storedBlock{version: it.Version}
		if err := json.Unmarshal(it.Value, &r.MachineBlock); err != nil {
			return fmt.Errorf("machine records %s: %w", it.Key, err)
		}
		recs = append(recs, r)
		return nil
	})
	return recs, err
}

// readDone lists what is done of the open jobs, and the keys of others.
func (p *dealing) readDone(ctx context.Context, open map[model.JobID]stored) (parts []storedChunk, orphans []string,
	err error) {
	_, err = p.l.n.state.List(ctx, doneKeys, func(it *wire.Item) error {
		var c int32
		name, no, _ := strings.Cut(strings.TrimPrefix(it.Key, doneKeys), "/")
		id, err := wire.ParseJob(name)
		if err != nil {
			return fmt.Errorf("done record: %w", err)
		}
		if _, err := fmt.Sscanf(no, "%d", &c); err != nil {
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
		parts = append(parts, storedChunk{id, c, ch.Bits})
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
func (p *dealing) add(now time.Duration, st stored) {
	waited := time.Duration(max(0, time.Now().UnixMilli()-st.sub.SubmittedMS)) * time.Millisecond
	p.d.AddJob(now, st.sub.Spec(p.l.n.names), st.version, min(waited, time.Hour), st.version <= p.l.guard.Version)
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
		now := n.now()
		for _, e := range ev.Events {
			key := e.Put + e.Delete
			id, sub, err := openRecord(key, e.Value)
			switch {
			case err != nil:
				n.log.Error("open record unreadable", "key", key, "err", err)
			case e.Put != "":
				p.add(now, stored{sub, e.Version})
			default:
				p.d.Withdrawn(id)
			}
		}
		p.fresh = asked
		if len(ev.Events) > 0 {
			p.due = true
			n.soon()
		}
		n.mu.Unlock()
	}
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
		p.add(now, st)
	}
	p.d.Sync(known, rev)
	p.fresh = asked
	p.due = true
	n.soon()
	return rev, false, nil
}
