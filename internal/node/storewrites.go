package node

import (
	"context"
	"errors"
	"time"

	"honeylock/internal/core/ratelimit"
	"honeylock/internal/core/writequota"
	"honeylock/internal/state"
	"honeylock/internal/wire"
)

// component is one part of the leader. It loads what earlier leaders stored, is ticked while the term
// lasts, and returns what must be stored; its decisions are made by state machines in internal/core.
// All methods but read and run are called under the controller's lock.
type component interface {
	// read reads the component's stored records without the lock. The function that it
	// returns applies them under the lock, once every component has read its own.
	read(ctx context.Context) (apply func(now time.Duration) error, err error)
	// run follows changes from outside the process until the term ends.
	run()
	// tick is called a few times a second.
	tick(now time.Duration)
	// writes returns at most limit writes of a class.
	writes(now time.Duration, class writequota.Class, limit int) []storeWrite
}

// storeWrite is a write of a component. Its transaction has the guards given here besides the guard on
// the leader key.
type storeWrite struct {
	guards    []wire.Guard
	ops       []wire.Op
	batchable bool // may share a transaction with others of its component and class
	onDone    func(now time.Duration, o writeOutcome)
}

// writeOutcome is the outcome of a storeWrite.
type writeOutcome struct {
	revision uint64
	err      error
	// conflict is true if a guard of this write, or of one that shares its transaction,
	// failed. foundVersion is then the current version of the key of its own first guard,
	// 0 if that is absent.
	conflict     bool
	foundVersion uint64
}

// maxWritesPerFlush is the maximum number of writes of one class of a component per flush.
const maxWritesPerFlush = 32

// flushWrites starts the writes that the components have to make, the most urgent class first, within
// the quota.
func (l *leadership) flushWrites(now time.Duration) {
	for class := writequota.FinalRecords; class <= writequota.OperatorRecords; class++ {
		for _, comp := range l.components {
			limit := min(l.writeQuota.Available(now, class), maxWritesPerFlush)
			if limit < 1 {
				if class == writequota.OperatorRecords && comp == component(l.drains) && l.drains.hasUnstored() {
					l.writeQuota.MarkBlocked(now, class)
				}
				continue
			}
			l.sendWrites(now, class, comp.writes(now, class, limit))
		}
	}
}

// sendWrites commits writes in the background, batchable ones together in one transaction.
func (l *leadership) sendWrites(now time.Duration, class writequota.Class, writes []storeWrite) {
	var batch []storeWrite
	flush := func() {
		if len(batch) > 0 {
			go l.commitWrites(batch, class)
			batch = nil
		}
	}
	for _, write := range writes {
		l.writeQuota.Spend(now, class, len(write.ops))
		if !write.batchable {
			go l.commitWrites([]storeWrite{write}, class)
			continue
		}
		if batch = append(batch, write); len(batch) >= min(l.node.cfg.Cluster.TxnOps(), 4) {
			flush()
		}
	}
	flush()
}

// requestClass returns the priority of a class of writes among this controller's requests. Progress is
// in the background: with the priority of final records, 170 ended jobs waited behind it when the
// write rate was scarce. An operator waits for an operator's change, so it has a user's priority.
func requestClass(class writequota.Class) ratelimit.Class {
	switch class {
	case writequota.FinalRecords:
		return ratelimit.Leader
	case writequota.OperatorRecords:
		return ratelimit.Changes
	default:
		return ratelimit.Background
	}
}

// readVersion reads the version of a key whose guard may have failed, 0 if the key is absent. It does not
// check whether the guard on the leader key failed instead: in that case the term has ended, and the
// outcome of its writes no longer matters.
func (l *leadership) readVersion(ctx context.Context, key string) (known bool, version uint64) {
	item, err := l.node.state.Get(ctx, key)
	if err != nil {
		return errors.Is(err, state.ErrNotFound), 0
	}
	return true, item.Version
}

// commitWrites stores a batch in one transaction and passes each write its outcome.
func (l *leadership) commitWrites(batch []storeWrite, class writequota.Class) {
	n := l.node
	txn := wire.Txn{Guards: []wire.Guard{l.guard}}
	for _, write := range batch {
		txn.Guards = append(txn.Guards, write.guards...)
		txn.Then = append(txn.Then, write.ops...)
	}
	ctx := state.WithClass(l.ctx, requestClass(class))
	revision, err := n.state.Txn(ctx, txn)
	if err != nil {
		n.log.Debug("failed to store writes", "writes", len(batch), "err", err)
	}
	outcomes := make([]writeOutcome, len(batch))
	for i, write := range batch {
		outcomes[i] = writeOutcome{revision: revision, err: err}
		if errors.Is(err, state.ErrConflict) && len(write.guards) > 0 {
			outcomes[i].conflict, outcomes[i].foundVersion = l.readVersion(ctx, write.guards[0].Key)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	for i, write := range batch {
		write.onDone(now, outcomes[i])
	}
	if n.lead == l {
		n.requestCycle()
	}
}
