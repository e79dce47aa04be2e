package storehealth

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// recordOutcomes records an outcome every 300 ms from one time to another.
func recordOutcomes(h *Health, from, to time.Duration, o Outcome) {
	for at := from; at < to; at += 300 * ms {
		h.RecordOutcome(at, o)
	}
}

// A controller is refused alone only if its requests fail while a sibling is served. Refusals for the
// rate are no failures.
func TestRefusedAloneNeedsAServedSibling(t *testing.T) {
	for name, c := range map[string]struct {
		outcome Outcome
		sibling time.Duration
		want    bool
	}{
		"refused while a sibling is served":       {Refused, 12 * time.Second, true},
		"no answer while a sibling is served":     {NoAnswer, 12 * time.Second, true},
		"refused, and no sibling served: outage":  {Refused, 10*time.Second + 500*ms, false},
		"over the rate while a sibling is served": {Busy, 12 * time.Second, false},
		"served while a sibling is served":        {Served, 12 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			var h Health
			recordOutcomes(&h, 0, 10*time.Second, Served)
			recordOutcomes(&h, 10*time.Second, 13*time.Second, c.outcome)
			if got := h.RefusedAlone(13*time.Second, c.sibling); got != c.want {
				t.Errorf("alone: %v, want %v", got, c.want)
			}
			if got, want := h.Unreachable(13*time.Second), c.outcome == Refused || c.outcome == NoAnswer; got != want {
				t.Errorf("unreachable: %v, want %v", got, want)
			}
		})
	}
}

// A leader that is refused alone, or gets no answers, should yield while a sibling is served. It must
// not if the service then becomes unavailable to all, nor when it comes back for all. ShouldYield is
// called every 100 ms, and each failure is known some time after the request was sent.
func TestLeaderYieldsOnlyToServedSibling(t *testing.T) {
	const cut, sec = 10 * time.Second, time.Second
	justServed := func(now time.Duration) time.Duration { return now - 100*ms }
	for name, c := range map[string]struct {
		known   time.Duration                                // how long after sending a failure is known
		sibling func(now time.Duration) (sent time.Duration) // newest request of a sibling that was served
		back    time.Duration                                // this controller is served again from then on
		from    time.Duration                                // must yield within a second from then on; 0: never
	}{
		"a sibling is served":            {100 * ms, justServed, time.Hour, cut + 3*sec},
		"no answers instead of refusals": {1500 * ms, justServed, time.Hour, cut + 3*sec},
		"its siblings send few requests": {100 * ms,
			func(now time.Duration) time.Duration { return now.Truncate(2*sec) - sec },
			time.Hour, cut + 6*sec},
		"the service goes out for all soon after": {100 * ms,
			func(now time.Duration) time.Duration { return min(now-100*ms, cut+2*sec) },
			time.Hour, 0},
		"out for all, then back, and a sibling is served first": {100 * ms, func(now time.Duration) time.Duration {
			if now > 90*sec {
				return now - 50*ms
			}
			return min(now-100*ms, cut+2*sec)
		}, 90 * sec, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var h Health
			var first time.Duration
			for now := time.Duration(0); now < 2*time.Minute && first == 0; now += 100 * ms {
				if sent := now - c.known; now%(300*ms) == 0 && sent >= 0 {
					if sent < cut || sent >= c.back {
						h.RecordOutcome(sent, Served)
					} else {
						h.RecordOutcome(sent, Refused)
					}
				}
				if h.ShouldYield(now, c.sibling(now)) {
					first = now
				}
			}
			if c.from == 0 && first != 0 || c.from != 0 && (first < c.from-300*ms || first > c.from+sec) {
				t.Errorf("yields at %v, want %v", first, c.from)
			}
		})
	}
}

// A process that gets hardly any CPU time reads answers too late. It must not give up leadership for
// that.
func TestDelaysOfThisProcessAreNotRefusals(t *testing.T) {
	var h Health
	recordOutcomes(&h, 0, 10*time.Second, Served)
	recordOutcomes(&h, 10*time.Second, 13*time.Second, NoAnswer)
	h.RecordDelay(13*time.Second, minTimerDelay)
	if h.RefusedAlone(13*time.Second, 13*time.Second) {
		t.Error("missing answers counted while this process was delayed")
	}
	recordOutcomes(&h, 13*time.Second, 14*time.Second, NoAnswer)
	if !h.RefusedAlone(14*time.Second, 14*time.Second) {
		t.Error("missing answers after the delay do not count")
	}
}

// An answer to a request from before the cut says nothing about the present, and one failure alone
// is not enough.
func TestOldAnswersDoNotCount(t *testing.T) {
	var h Health
	h.RecordOutcome(10*time.Second, Served)
	h.RecordOutcome(12*time.Second, NoAnswer)
	if h.RefusedAlone(13*time.Second, 13*time.Second) {
		t.Error("refused alone after a single failure")
	}
	recordOutcomes(&h, 11*time.Second, 12*time.Second, Refused)
	h.RecordOutcome(9*time.Second, Served)
	if !h.RefusedAlone(13*time.Second, 13*time.Second) {
		t.Error("an older answer hides the refusals")
	}
	if at, known := h.LastServed(); at != 10*time.Second || !known {
		t.Errorf("served %v, %v", at, known)
	}
}

// When the service becomes unavailable to all as the leader's lease ends, siblings were served until
// just before. The leader must not yield without a fresh confirmation by a sibling.
func TestLeaderYieldsOnceSiblingIsConfirmed(t *testing.T) {
	const cut, out = 10 * time.Second, 12900 * ms
	for name, c := range map[string]struct {
		out  time.Duration
		want bool
	}{"a sibling is still served": {time.Hour, true}, "out for all just now": {out, false}} {
		t.Run(name, func(t *testing.T) {
			var h Health
			recordOutcomes(&h, 0, cut, Served)
			yielded, asked, shouldYield := false, 0, false
			for now := cut; now < cut+30*time.Second; now += 100 * ms {
				if now%(300*ms) == 0 {
					h.RecordOutcome(now-100*ms, Refused)
				}
				sibling := min(now-100*ms, c.out)
				shouldYield = shouldYield || h.ShouldYield(now, sibling)
				yield, ask := h.YieldNow(now, sibling)
				yielded = yielded || yield
				if ask && !yielded {
					asked++
					if now < c.out {
						h.ConfirmServed(now + 20*ms)
					}
				}
			}
			if yielded != c.want || asked == 0 || asked > 10 || !shouldYield {
				t.Errorf("yielded: %v, want %v; asked %d times, should yield: %v", yielded, c.want, asked, shouldYield)
			}
		})
	}
}

// A controller that sends no requests for a while is not cut off: only a failed request shows that.
func TestControllerWithoutRequestsIsNotUnreachable(t *testing.T) {
	var h Health
	if !h.Unreachable(3 * time.Second) {
		t.Error("reachable though never served")
	}
	h.RecordOutcome(4*time.Second, Served)
	if h.Unreachable(20 * time.Second) {
		t.Error("unreachable though nothing was sent")
	}
	h.RecordOutcome(20*time.Second, NoAnswer)
	if !h.Unreachable(20 * time.Second) {
		t.Error("reachable after a request that was not answered")
	}
	h.RecordOutcome(21*time.Second, Busy)
	if h.Unreachable(22 * time.Second) {
		t.Error("unreachable though the service answered that it is busy")
	}
}
