package election

import (
	"testing"
	"time"
)

const ttl = 4 * time.Second

// makeLeader makes e the leader of term 1 under lease 7, requested at now.
func makeLeader(t *testing.T, e *Election, now time.Duration) {
	t.Helper()
	ops := e.Step(now)
	if len(ops) != 1 || ops[0].Verb != Read {
		t.Fatalf("ops %v, want a read", ops)
	}
	ops = e.HandleResult(now, Result{Op: ops[0], OK: true})
	if len(ops) != 1 || ops[0].Verb != Grant {
		t.Fatalf("ops %v, want a grant", ops)
	}
	ops = e.HandleResult(now+time.Second, Result{Op: ops[0], OK: true, Lease: 7})
	if len(ops) != 1 || ops[0].Verb != Acquire || ops[0].Term != 1 {
		t.Fatalf("ops %v, want term 1 acquired", ops)
	}
	e.HandleResult(now+2*time.Second, Result{Op: ops[0], OK: true, Version: 9})
}

// Authority is counted from the time at which the grant or the renewal was sent, not from its answer.
func TestAuthorityCountsFromSending(t *testing.T) {
	e := New("a", ttl, 0, 0, 0)
	makeLeader(t, e, 0)
	if !e.Leading(2*time.Second) || e.Leading(ttl) {
		t.Fatal("authority must end a lease's length after the request was sent, not after the answer")
	}
	// A renewal sent at 2.5 s and answered at 3.5 s counts from 2.5 s.
	ops := e.Step(2500 * time.Millisecond)
	if len(ops) != 1 || ops[0].Verb != Renew {
		t.Fatalf("ops %v, want a renewal", ops)
	}
	e.HandleResult(3500*time.Millisecond, Result{Op: ops[0], OK: true})
	if !e.Leading(6*time.Second) || e.Leading(6500*time.Millisecond) {
		t.Fatal("a renewal must count from when it was sent, less the margin for clock drift")
	}
}

// A transaction without an answer may be applied later. Its lease is ended, so that it can no longer
// make this controller the leader.
func TestAcquireInDoubtRevokesLease(t *testing.T) {
	e := New("a", ttl, 0, 0, 0)
	ops := e.Step(0)
	ops = e.HandleResult(0, Result{Op: ops[0], OK: true})
	ops = e.HandleResult(0, Result{Op: ops[0], OK: true, Lease: 7})
	e.HandleResult(time.Second, Result{Op: ops[0]}) // no answer
	if e.Leading(time.Second) {
		t.Fatal("leads though the transaction is in doubt")
	}
	// The transaction may be applied later: ending its lease makes it fail.
	ops = e.Step(2 * time.Second)
	if len(ops) != 1 || ops[0].Verb != Revoke || ops[0].Lease != 7 {
		t.Fatalf("ops %v, want lease 7 ended", ops)
	}
}

// A process that finds its own host in the leader's key ends the lease of its previous run, and may
// become leader at once.
func TestOwnEarlierLeaseIsRevoked(t *testing.T) {
	e := New("a", ttl, 0, time.Minute, 0)
	ops := e.Step(0)
	e.HandleResult(0, Result{Op: ops[0], OK: true, Leader: LeaderRecord{Present: true, Host: "a", Lease: 3}})
	ops = e.Step(0)
	if len(ops) != 1 || ops[0].Verb != Revoke || ops[0].Lease != 3 {
		t.Fatalf("ops %v, want lease 3 ended", ops)
	}
	e.HandleResult(0, Result{Op: ops[0], OK: true})
	makeLeader(t, e, 0) // at once: the previous run led, so no leader relies on its promise
}

// A controller does not run for leadership before its promise is over, nor, after its start, before a
// promise of its previous run can be over.
func TestPromiseIsKept(t *testing.T) {
	e := New("a", ttl, 0, time.Second, 0)
	acquires := func(now time.Duration) bool {
		ops := e.Step(now)
		if len(ops) == 0 {
			return false
		}
		return len(e.HandleResult(now, Result{Op: ops[0], OK: true})) > 0
	}
	if acquires(500 * time.Millisecond) {
		t.Fatal("a process that just started may have promised in its previous run")
	}
	e.Promise(3 * time.Second)
	if acquires(2 * time.Second) {
		t.Fatal("ran for leadership in spite of its promise")
	}
	if !acquires(3 * time.Second) {
		t.Fatal("the promise is over")
	}
}

// The promises of all siblings extend the leader's authority beyond its lease, unless the lease has
// certainly ended.
func TestSiblingPromisesExtendAuthority(t *testing.T) {
	e := New("a", ttl, 0, 0, 0)
	makeLeader(t, e, 0)
	e.ExtendAuthority(10 * time.Second)
	if !e.Leading(9 * time.Second) {
		t.Fatal("all siblings have promised until 10 s")
	}
	if e.Leading(10 * time.Second) {
		t.Fatal("the promises are over")
	}
	// If the key is certainly gone, authority ends all the same.
	ops := e.Step(9 * time.Second)
	e.HandleResult(9*time.Second, Result{Op: ops[0], NotExecuted: true})
	if e.Leading(9 * time.Second) {
		t.Fatal("leads without a lease")
	}
}

// After a crash of all controllers nobody leads, so promises of their previous runs do not matter.
// Waiting for these to end would let the workers' leases expire.
func TestPriorPromiseIsClearedWithoutLeader(t *testing.T) {
	e := New("a", ttl, 0, time.Minute, 0)
	e.ClearPriorPromise(time.Second)
	makeLeader(t, e, time.Second)
	// A promise of this run counts.
	e = New("a", ttl, 0, time.Minute, 0)
	e.Promise(time.Minute)
	e.ClearPriorPromise(time.Second)
	ops := e.Step(time.Second)
	if got := e.HandleResult(time.Second, Result{Op: ops[0], OK: true}); len(got) > 0 {
		t.Fatalf("ops %v in spite of a promise", got)
	}
}

// A renewal that is answered after authority has ended must not resume the term: the dispatcher's
// state is gone, so tokens and attempt numbers of the term would be assigned twice.
func TestEndedTermIsNotResumed(t *testing.T) {
	e := New("a", ttl, 0, 0, 0)
	makeLeader(t, e, 0)
	ops := e.Step(2500 * time.Millisecond)
	late := e.Deadline() + time.Millisecond
	if e.Leading(late) {
		t.Fatal("leads beyond its deadline")
	}
	e.HandleResult(late, Result{Op: ops[0], OK: true})
	if e.Leading(late) {
		t.Fatal("the term was resumed")
	}
	if ops = e.Step(late); len(ops) != 1 || ops[0].Verb != Revoke || ops[0].Lease != 7 {
		t.Fatalf("ops %v, want the term's lease ended", ops)
	}
}

// All followers together read the leader's key about twice a second, however many there are. One
// whose link to the leader breaks reads it soon.
func TestFollowersShareReadRate(t *testing.T) {
	for _, siblings := range []int{2, 6, 19} {
		e := New("b", 3*time.Second, 0, 0, 0)
		e.SetSiblings(siblings)
		reads := 0
		for now := time.Duration(0); now < time.Minute; now += 50 * time.Millisecond {
			for _, op := range e.Step(now) {
				reads++
				e.HandleResult(now, Result{Op: op, OK: true, Leader: LeaderRecord{Present: true, Host: "a", Version: 5}})
			}
		}
		if perSecond := float64(reads*siblings) / 60; perSecond < 1.8 || perSecond > 2.6 {
			t.Errorf("%d followers read %.1f times a second", siblings, perSecond)
		}
		e.CheckSoon(time.Minute)
		if ops := e.Step(time.Minute + 300*time.Millisecond); len(ops) != 1 || ops[0].Verb != Read {
			t.Errorf("%d followers: %v after the link broke", siblings, ops)
		}
	}
}
