package sim

import (
	"fmt"
	"testing"
	"time"

	"honeylock/internal/core/election"
	"honeylock/internal/core/ratelimit"
	"honeylock/internal/core/storehealth"
)

// An overload of the state service: controllers that have just lost their caches, a leader that reads
// the store, and users who poll all the time. The service refuses requests above its rate; there is no
// other fault.

const (
	// Requests per second that the state service serves.
	overloadRate = 70.0
	// Requests that a new leader needs to read the store.
	loadRequests = 60
	// Polls per second and controller.
	pollsPerSecond = 200
	overloadStep   = 10 * time.Millisecond
)

// stateClient is a controller as far as the state service sees it.
type stateClient struct {
	host     string
	election *election.Election
	// When the last successful renewal was sent.
	renewed time.Duration
	health  storehealth.Health
	limiter *ratelimit.Limiter
	pending []*pendingRequest
	term    uint64
	// Requests left of the leader's read of the store.
	readsLeft int
	reading   bool
	resigned  int
}

// pendingRequest is a request that waits for the limiter's decision.
type pendingRequest struct {
	ticket *ratelimit.Ticket
	done   func(ok bool)
}

// overload is one run of the overload test.
type overload struct {
	// As release 0.4: urgent requests are not rate-limited, and a failed renewal counts as a refusal.
	naive   bool
	now     time.Duration
	store   *store
	tokens  float64
	refused int
	clients []*stateClient
	// When a leader had read the store.
	loadedAt []time.Duration
}

// newOverload returns a run with three controllers.
func newOverload(naive bool) *overload {
	w := newWorld(1, shortLeaseParams())
	w.params.leaderTTL = 3 * time.Second
	s := &overload{naive: naive, store: w.store, tokens: overloadRate}
	for i := range 3 {
		client := &stateClient{host: fmt.Sprintf("c%d", i),
			limiter: ratelimit.New(ratelimit.Params{RequestRate: overloadRate, WriteRate: 25, Controllers: 3})}
		client.election = election.New(client.host, w.params.leaderTTL, time.Duration(i)*150*time.Millisecond,
			promiseDuration, 0)
		s.clients = append(s.clients, client)
	}
	return s
}

// send queues a request of a client; done learns whether it was executed.
func (s *overload) send(o *stateClient, c ratelimit.Class, done func(ok bool)) {
	if s.naive && c != ratelimit.Reads {
		c = ratelimit.Authority
	}
	o.pending = append(o.pending, &pendingRequest{ticket: o.limiter.Request(s.now, c, 0, s.now+1500*time.Millisecond),
		done: done})
}

// deliver has the service answer the requests that the limiter has admitted.
func (s *overload) deliver(o *stateClient) {
	o.limiter.Step(s.now)
	var keep []*pendingRequest
	sent := o.pending
	o.pending = nil
	for _, m := range sent {
		select {
		case <-m.ticket.Decided:
		default:
			keep = append(keep, m)
			continue
		}
		switch {
		case m.ticket.Refused:
			m.done(false)
		case s.tokens >= 1:
			s.tokens--
			o.health.RecordOutcome(s.now, storehealth.Served)
			m.done(true)
		default:
			s.refused++
			o.health.RecordOutcome(s.now, storehealth.Busy)
			if !s.naive {
				o.limiter.HandleRefusal(s.now)
			}
			m.done(false)
		}
	}
	o.pending = append(o.pending, keep...)
}

// runElection sends the election's requests and feeds their results back.
func (s *overload) runElection(o *stateClient, ops []election.Op) {
	for _, op := range ops {
		s.send(o, ratelimit.Authority, func(ok bool) {
			res := election.Result{Op: op}
			if ok {
				s.store.w.now = s.now
				res = s.store.election(o.host, op).(election.Result)
				if res.OK && (op.Verb == election.Acquire || op.Verb == election.Renew) {
					o.renewed = op.SentAt
				}
			}
			s.runElection(o, o.election.HandleResult(s.now, res))
		})
	}
}

// stepLeader advances a leader: it reads the store once per term, one request after the other, and
// resigns if only it is refused.
func (s *overload) stepLeader(o *stateClient) {
	if !o.election.Leading(s.now) {
		o.term, o.reading = 0, false
		return
	}
	if o.term != o.election.Term() {
		o.term, o.readsLeft, o.reading = o.election.Term(), loadRequests, false
	}
	if o.readsLeft > 0 && !o.reading {
		o.reading = true
		term := o.term
		s.send(o, ratelimit.Leader, func(ok bool) {
			if o.term != term {
				return
			}
			o.reading = false
			if !ok {
				if s.naive {
					o.readsLeft = loadRequests // starts over
				}
				return
			}
			if o.readsLeft--; o.readsLeft == 0 {
				s.loadedAt = append(s.loadedAt, s.now)
			}
		})
	}
	if s.refusedAlone(o) {
		o.resigned++
		o.election.Resign(s.now, 4*time.Second)
	}
}

// refusedAlone reports whether a leader considers itself refused while another controller is served.
func (s *overload) refusedAlone(o *stateClient) bool {
	for _, sib := range s.clients {
		at, _ := sib.health.LastServed()
		if sib == o {
			continue
		}
		if !s.naive && o.health.RefusedAlone(s.now, at) {
			return true
		}
		last := o.renewed
		if s.naive && s.now-last > 2500*time.Millisecond && at > last+1500*time.Millisecond {
			return true
		}
	}
	return false
}

// poll sends users' requests. Each poll costs a read because no controller knows any job yet. There
// are also submissions; release 0.4 did not rate-limit these and the comparisons of polls.
func (s *overload) poll(o *stateClient) {
	if s.now%(overloadStep*5) == 0 {
		s.send(o, ratelimit.Changes, func(bool) {})
	}
	for range pollsPerSecond / 100 {
		s.send(o, ratelimit.Reads, func(bool) {})
	}
}

// run advances the overload to the given time. It returns the number of terms and how many of them
// were resigned.
func (s *overload) run(length time.Duration) (terms uint64, resigned int) {
	for ; s.now < length; s.now += overloadStep {
		s.tokens = min(overloadRate, s.tokens+overloadRate*overloadStep.Seconds())
		for _, o := range s.clients {
			s.runElection(o, o.election.Step(s.now))
			s.stepLeader(o)
			s.poll(o)
		}
		for _, i := range s.store.w.rng.Perm(len(s.clients)) {
			s.deliver(s.clients[i])
		}
	}
	for _, o := range s.clients {
		resigned += o.resigned
	}
	return s.store.term, resigned
}

// TestOverloadKeepsLeader guards against leaders that give up under overload: with twice the machines,
// renewals were refused by the rate limit and every leader resigned after a few seconds. There were
// fourteen terms, five of them resigned by mistake.
func TestOverloadKeepsLeader(t *testing.T) {
	t.Parallel()
	s := newOverload(false)
	if terms, resigned := s.run(time.Minute); terms > 1 || resigned > 0 {
		t.Errorf("%d terms, %d resigned", terms, resigned)
	}
	if len(s.loadedAt) == 0 || s.loadedAt[0] > 8*time.Second {
		t.Errorf("the store was read at %v", s.loadedAt)
	}
	naive := newOverload(true)
	if terms, resigned := naive.run(time.Minute); resigned == 0 || len(naive.loadedAt) > 0 {
		t.Errorf("release 0.4 handles the overload as well (%d terms, %d resigned, store read at %v): the test shows nothing",
			terms, resigned, naive.loadedAt)
	}
}
