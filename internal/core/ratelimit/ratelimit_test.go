package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// allowed reports whether a ticket is decided and its request may be sent.
func allowed(t *Ticket) bool {
	select {
	case <-t.Decided:
		return !t.Refused
	default:
		return false
	}
}

// service serves requests up to a rate, with a burst of one second's worth.
type service struct {
	rate, tokens float64
	at           time.Duration
	served, busy int
}

// serve reports whether the service serves a request now.
func (s *service) serve(now time.Duration) bool {
	s.tokens = min(s.rate, s.tokens+s.rate*(now-s.at).Seconds())
	s.at = now
	if s.tokens < 1 {
		s.busy++
		return false
	}
	s.tokens--
	s.served++
	return true
}

// runOverload lets controllers request much more than the service allows, until length.
func runOverload(s *service, limiters []*Limiter, demand []float64, length time.Duration, rng *rand.Rand) []int {
	got := make([]int, len(limiters))
	waiting := make([][]*Ticket, len(limiters))
	for now := time.Second; now < length; now += 5 * ms {
		for i, q := range limiters {
			q.Step(now)
			if rng.Float64() < demand[i]*0.005 {
				waiting[i] = append(waiting[i], q.Request(now, Reads, 0, now+time.Second))
			}
			remaining := waiting[i][:0]
			for _, t := range waiting[i] {
				switch {
				case t.Refused:
				case !allowed(t):
					remaining = append(remaining, t)
				case s.serve(now):
					got[i]++
				default:
					q.HandleRefusal(now)
				}
			}
			waiting[i] = remaining
		}
	}
	return got
}

// Three controllers request four times the rate: each gets about an equal share, and the service
// refuses hardly anything. A controller that is alone gets most of the rate.
func TestSharesFollowDemand(t *testing.T) {
	s := &service{rate: 70, tokens: 70}
	var qs []*Limiter
	for range 3 {
		qs = append(qs, New(Params{RequestRate: 70, WriteRate: 25, Controllers: 3}))
	}
	rng := rand.New(rand.NewPCG(1, 2))
	got := runOverload(s, qs, []float64{90, 90, 90}, 61*time.Second, rng)
	if s.served < 70*60*8/10 {
		t.Errorf("%d of %d served in a minute: too few", s.served, 70*60)
	}
	if s.busy > s.served/10 {
		t.Errorf("%d refused for the rate, %d served", s.busy, s.served)
	}
	for i, n := range got {
		if n < s.served/6 {
			t.Errorf("controller %d got %d of %d", i, n, s.served)
		}
	}
	lone := &service{rate: 70, tokens: 70, at: time.Second}
	one := New(Params{RequestRate: 70, WriteRate: 25, Controllers: 3})
	if n := runOverload(lone, []*Limiter{one}, []float64{90}, 61*time.Second, rng)[0]; n < 70*60*7/10 {
		t.Errorf("a single controller got %d of %d", n, 70*60)
	}
}

// Requests of urgent classes do not wait behind a queue of reads: those for authority are sent at
// once, a leader's overdraw the share, and changes go before earlier reads.
func TestUrgentClassesGoFirst(t *testing.T) {
	q := New(Params{RequestRate: 60, WriteRate: 30, Controllers: 3})
	for range 40 {
		q.Request(0, Reads, 0, time.Second)
	}
	for _, a := range []struct {
		c Class
		n int
	}{{Changes, 3}, {Leader, 8}, {Authority, 20}} {
		for i := range a.n {
			if !allowed(q.Request(0, a.c, 0, time.Second)) {
				t.Errorf("class %d: request %d waits behind reads", a.c, i)
			}
		}
	}
}

// A request that can't be sent in time is refused at once: its caller would have given up by then.
func TestLateRequestsAreRefusedAtOnce(t *testing.T) {
	q := New(Params{RequestRate: 30, WriteRate: 30, Controllers: 3})
	var last *Ticket
	for range 200 {
		last = q.Request(0, Reads, 0, time.Second)
	}
	if !last.Refused {
		t.Error("the 200th request at 9 per second waits, though its deadline is a second away")
	}
	if q.Shed[Reads] < 150 {
		t.Errorf("%d shed", q.Shed[Reads])
	}
}

// Whatever is requested, in any order, every ticket is decided by its deadline, and Step returns a
// time at which something happens.
func TestEveryTicketIsDecided(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Params{RequestRate: 20, WriteRate: 8, Controllers: rapid.IntRange(1, 7).Draw(t, "controllers")})
		var open []*Ticket
		now := ms
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * ms
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				q.HandleRefusal(now)
			default:
				c := Class(rapid.IntRange(0, int(classes)-1).Draw(t, "class"))
				open = append(open, q.Request(now, c, rapid.IntRange(0, 12).Draw(t, "writes"), now+1500*ms))
			}
			q.Step(now)
		}
		for next := now; next != 0; {
			now = next
			if next = q.Step(now); next != 0 && next <= now {
				t.Fatalf("at %v the next call is due at %v", now, next)
			}
		}
		for i, o := range open {
			select {
			case <-o.Decided:
			default:
				t.Fatalf("ticket %d of class %d is never decided", i, o.class)
			}
		}
	})
}

// When the write rate is scarce, the ends of jobs go before earlier requests to store progress. In
// one shared class, many ended jobs would wait to be reported.
func TestJobEndsGoBeforeProgress(t *testing.T) {
	const rate = 10
	q := New(Params{RequestRate: 1000, WriteRate: rate, Controllers: 1})
	var ends []*Ticket
	var progress int
	now := time.Duration(0)
	for i := range 200 { // 20 s with three times the writes that the service allows
		now += 100 * time.Millisecond
		for range 2 {
			if k := q.Request(now, Background, 1, now+1500*time.Millisecond); allowed(k) {
				progress++
			}
		}
		if i%3 == 0 {
			ends = append(ends, q.Request(now, Leader, 2, now+1500*time.Millisecond))
		}
		q.Step(now)
	}
	gone := 0
	for _, k := range ends {
		if allowed(k) {
			gone++
		}
	}
	if gone < len(ends)-2 {
		t.Errorf("%d of %d ends of jobs were sent, and %d records of progress", gone, len(ends), progress)
	}
	if progress == 0 {
		t.Error("no progress was stored though a third of the write rate was left")
	}
}

// Only refusals show when an announced rate takes effect. One may have another reason; two within a
// short time are attributed to it.
func TestAnnouncedRateIsFollowed(t *testing.T) {
	q := New(Params{RequestRate: 100, WriteRate: 60, NextWriteRate: 42, Controllers: 3})
	q.HandleRefusal(time.Second)
	q.HandleRefusal(time.Minute)
	if rate, lowered := q.WriteRate(); lowered || rate != 60 {
		t.Fatalf("%v after refusals far apart", rate)
	}
	q.HandleRefusal(time.Minute + time.Second)
	if rate, lowered := q.WriteRate(); !lowered || rate != 42 {
		t.Fatalf("%v after two in succession", rate)
	}
}

// An allocation by the leader is followed at once, and shrinks for a while after a refusal. When it
// expires, the controller starts again from its initial share.
func TestAllocationIsFollowed(t *testing.T) {
	q := New(Params{RequestRate: 100, WriteRate: 50, Controllers: 20})
	q.SetAllocation(0, Allocation{Requests: 0.4, Writes: 0.2}, 2*time.Second)
	if q.Share() != 0.4 {
		t.Errorf("share %v", q.Share())
	}
	s := &service{rate: 100, tokens: 100}
	got := 0
	for now := 5 * ms; now < 20*time.Second; now += 5 * ms {
		q.SetAllocation(now, Allocation{Requests: 0.4, Writes: 0.2}, now+2*time.Second)
		if k := q.Request(now, Reads, 0, now); allowed(k) && s.serve(now) {
			got++
		}
		q.Step(now)
	}
	if got < 20*40*9/10 || got > 20*40*11/10 {
		t.Errorf("%d of 800 were sent in 20 s", got)
	}
	q.HandleRefusal(20 * time.Second)
	if q.Share() >= 0.4 {
		t.Errorf("share %v after a refusal", q.Share())
	}
	q.Step(22*time.Second + ms) // the allocation has expired
	if want := initialTotalShare/20 + shareGrowth; q.Share() > want+1e-9 {
		t.Errorf("share %v without an allocation, want at most %v", q.Share(), want)
	}
}

// Demand counts all requests, whether or not they were sent.
func TestDemandCountsRequests(t *testing.T) {
	q := New(Params{RequestRate: 100, WriteRate: 10, Controllers: 20})
	for i := range 30 {
		q.Request(time.Second+time.Duration(i)*ms, Reads, 1, 0)
	}
	if got := q.Demand(1900 * ms); got.Requests != 0.3 || got.Writes != 3 {
		t.Errorf("%+v", got)
	}
	if got := q.Demand(4 * time.Second); got != (Allocation{}) {
		t.Errorf("%+v after a second without requests", got)
	}
}

// Reads do not wait for others' writes. Otherwise they are refused for as long as a leader's queue of
// progress waits for the write rate.
func TestReadsDoNotWaitForChanges(t *testing.T) {
	q := New(Params{RequestRate: 100, WriteRate: 5, Controllers: 1})
	for range 400 {
		q.Request(0, Background, 2, time.Hour)
	}
	late := 0
	for now := 10 * ms; now < 5*time.Second; now += 100 * ms {
		k := q.Request(now, Reads, 0, now+time.Second)
		q.Step(now)
		if !allowed(k) {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d of 50 reads waited or were refused, with 50 requests per second unused", late)
	}
	// Nor are they refused at once if a short wait is enough.
	for range 60 {
		q.Request(5*time.Second, Leader, 0, 6*time.Second)
	}
	k := q.Request(5*time.Second, Reads, 0, 6500*ms)
	for now := 5 * time.Second; now < 6500*ms; now += 10 * ms {
		q.Step(now)
	}
	if !allowed(k) {
		t.Error("a read was refused, though it could have been sent within a second")
	}
}
