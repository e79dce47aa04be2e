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

// part is one of the leader's powers: it loads what earlier leaders stored, then
// is ticked, and gives what must be written. What it decides, a core decides. All
// but read and run are called under the controller's lock.
type part interface {
	// read gets the part's records from the store, without the lock; take brings
	// them in once every part has read its own.
	read(ctx context.Context) (take func(now time.Duration) error, err error)
	// run follows the outside world until the term ends.
	run()
	// tick is called a few times a second.
	tick(now time.Duration)
	// writes gives at most n changes of a class.
	writes(now time.Duration, c writequota.Class, n int) []write
}

// write is a transaction of the leader's. It bears the leader's guard besides
// its own.
type write struct {
	guards []wire.Guard
	ops    []wire.Op
	joins  bool // may share a transaction with others of its part
	done   func(now time.Duration, o outcome)
}

// outcome of a write.
type outcome struct {
	rev uint64
	err error
	// conflict tells that a guard failed, of this write or of one that shares its
	// transaction: the key of its own first guard is at version at now (0: absent).
	conflict bool
	at       uint64
}

// maxWrites are the writes given at a time.
const maxWrites = 32

// store writes what must last, the most urgent first.
func (l *leadership) store(now time.Duration) {
	for c := writequota.FinalRecords; c <= writequota.OperatorRecords; c++ {
		for _, p := range l.parts {
			n := min(l.budget.Available(now, c), maxWrites)
			if n < 1 {
				if c == writequota.OperatorRecords && p == part(l.drains) && l.drains.pending() {
					l.budget.MarkBlocked(now, c)
				}
				continue
			}
			l.send(now, c, p.writes(now, c, n))
		}
	}
}

// send carries writes out, those that join in one transaction.
func (l *leadership) send(now time.Duration, c writequota.Class, ws []write) {
	var batch []write
	flush := func() {
		if len(batch) > 0 {
			go l.write(batch, c)
			batch = nil
		}
	}
	for _, w := range ws {
		l.budget.Spend(now, c, len(w.ops))
		if !w.joins {
			go l.write([]write{w}, c)
			continue
		}
		if batch = append(batch, w); len(batch) >= min(l.n.cfg.Cluster.TxnOps(), 4) {
			flush()
		}
	}
	flush()
}

// classOf is how urgent a write is among this controller's requests: progress once
// went as finals do, and where changes were scarce 170 jobs that had ended waited
// behind it. For an operator's change somebody waits, as for a user's.
func classOf(c writequota.Class) ratelimit.Class {
	switch c {
	case writequota.FinalRecords:
		return ratelimit.Leader
	case writequota.OperatorRecords:
		return ratelimit.Changes
	default:
		return ratelimit.Background
	}
}

// foundAt reads at which version a key is whose guard may have failed; 0: absent. Ours is
// the leader's key still, or else nothing matters any more.
func (l *leadership) foundAt(ctx context.Context, key string) (known bool, version uint64) {
	it, err := l.n.state.Get(ctx, key)
	if err != nil {
		return errors.Is(err, state.ErrNotFound), 0
	}
	return true, it.Version
}

func (l *leadership) write(batch []write, c writequota.Class) {
	n := l.n
	t := wire.Txn{Guards: []wire.Guard{l.guard}}
	for _, w := range batch {
		t.Guards = append(t.Guards, w.guards...)
		t.Then = append(t.Then, w.ops...)
	}
	ctx := state.As(l.ctx, classOf(c))
	rev, err := n.state.Txn(ctx, t)
	if err != nil {
		n.log.Debug("not stored", "writes", len(batch), "err", err)
	}
	outcomes := make([]outcome, len(batch))
	for i, w := range batch {
		outcomes[i] = outcome{rev: rev, err: err}
		if errors.Is(err, state.ErrConflict) && len(w.guards) > 0 {
			outcomes[i].conflict, outcomes[i].at = l.foundAt(ctx, w.guards[0].Key)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	for i, w := range batch {
		w.done(now, outcomes[i])
	}
	if n.lead == l {
		n.soon()
	}
}
