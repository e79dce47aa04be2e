package sim

import (
	"time"

	"honeylock/internal/core/election"
	"honeylock/internal/core/storehealth"
)

// storeCall runs op at the store. done gets the result, or nil if there is no answer within 1.5 s.
// Requests and answers are sometimes late or lost.
func (c *controller) storeCall(op func() any, done func(any)) { c.call(false, op, done) }

// storeTxn is storeCall for a transaction and for the grant or revocation of a lease, which the store
// may carry out late.
func (c *controller) storeTxn(op func() any, done func(any)) { c.call(true, op, done) }

// call implements storeCall and storeTxn and records the outcome for storeHealth.
func (c *controller) call(txn bool, op func() any, done func(any)) {
	run, answered, sent := c.run, false, c.now()
	finish := func(v any, o storehealth.Outcome) {
		if !answered && c.running && c.run == run {
			answered = true
			c.storeHealth.RecordOutcome(sent, o)
			done(v)
		}
	}
	c.w.send(c.host, "store", false, func() {
		if txn && c.w.store.delayTransaction(op) {
			return
		}
		var v any
		o := storehealth.Refused
		if c.w.store.serves(c.host) {
			c.w.store.changedJob = nil
			v, o = op(), storehealth.Served
			if txn && c.w.store.losesAnswer() {
				c.w.observe("a transaction is carried out and its answer is lost")
				if id := c.w.store.changedJob; id != nil {
					c.w.store.unreadChanges[*id] = c.host
				}
				return
			}
		}
		if c.w.rng.IntN(300) > 0 {
			c.w.send("store", c.host, false, func() { finish(v, o) })
		}
	})
	c.timer(1500*time.Millisecond, func() { finish(nil, storehealth.NoAnswer) })
}

// runElection sends the election's requests to the store and feeds their results back.
func (c *controller) runElection(ops []election.Op) {
	for _, op := range ops {
		call := c.storeCall
		if op.Verb != election.Read && op.Verb != election.Renew {
			call = c.storeTxn
		}
		call(func() any { return c.w.store.election(c.host, op) }, func(v any) {
			res, ok := v.(election.Result)
			if !ok {
				res = election.Result{Op: op}
			}
			c.runElection(c.election.HandleResult(c.now(), res))
			c.followElection()
		})
	}
}
