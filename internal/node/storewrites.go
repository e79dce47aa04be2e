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

// component is one of the leader's powers: it loads what earlier leaders stored, then
// is ticked, and gives what must be written. What it decides, a core decides. All
// but read and run are called under the controller's lock.
type component interface {
	// read gets the part's records from the store, without the lock; take brings
	// them in once every part has read its own.
	read(ctx context.Context) (take func(now time.Duration) error, err error)
	// run follows the outside world until the term ends.
	run()
	// tick is called a few times a second.
	tick(now time.Duration)
	// writes gives at most n changes of a class.
	writes(now time.Duration, c writequota.Class, n int) []storeWrite
}

// storeWrite is a transaction of the leader's. It bears the leader's guard besides
// its own.
type storeWrite struct {
	guards    []wire.Guard
	ops       []wire.Op
	batchable bool // may share a transaction with others of its part
	onDone    func(now time.Duration, o writeOutcome)
}

// writeOutcome of a write.
type writeOutcome struct {
	revision uint64
	err      error
	// conflict tells that a guard failed, of this write or of one that shares its
	// transaction: the key of its own first guard is at version at now (0: absent).
	conflict     bool
	foundVersion uint64
}

// maxWritesPerFlush are the writes given at a time.
const maxWritesPerFlush = 32

// flushWrites writes what must last, the most urgent first.
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

// sendWrites carries writes out, those that join in one transaction.
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

// requestClass is how urgent a write is among this controller's requests: progress once
// went as finals do, and where changes were scarce 170 jobs that had ended waited
// behind it. For an operator's change somebody waits, as for a user's.
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

// readVersion reads at which version a key is whose guard may have failed; 0: absent. Ours is
// the leader's key still, or else nothing matters any more.
func (l *leadership) readVersion(ctx context.Context, key string) (known bool, version uint64) {
	it, err := l.node.state.Get(ctx, key)
	if err != nil {
		return errors.Is(err, state.ErrNotFound), 0
	}
	return true, it.Version
}

func (l *leadership) commitWrites(batch []storeWrite, class writequota.Class) {
	n := l.node
	txn := wire.Txn{Guards: []wire.Guard{l.guard}}
	for _, write := range batch {
		txn.Guards = append(txn.Guards, write.guards...)
		txn.Then = append(txn.Then, write.ops...)
	}
	ctx := state.As(l.ctx, requestClass(class))
	rev, err := n.state.Txn(ctx, txn)
	if err != nil {
		n.log.Debug("not stored", "writes", len(batch), "err", err)
	}
	outcomes := make([]writeOutcome, len(batch))
	for i, write := range batch {
		outcomes[i] = writeOutcome{revision: rev, err: err}
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
