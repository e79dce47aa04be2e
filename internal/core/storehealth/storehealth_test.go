package storehealth

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// recordOutcomes notes one outcome every 300 ms from one time to another.
func recordOutcomes(s *Health, from, to time.Duration, o Outcome) {
	for at := from; at < to; at += 300 * ms {
		s.RecordOutcome(at, o)
	}
}

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
			var s Health
			recordOutcomes(&s, 0, 10*time.Second, Served)
			recordOutcomes(&s, 10*time.Second, 13*time.Second, c.outcome)
			if got := s.RefusedAlone(13*time.Second, c.sibling); got != c.want {
				t.Errorf("alone: %v, want %v", got, c.want)
			}
			if got, want := s.Unreachable(13*time.Second), c.outcome == Refused || c.outcome == NoAnswer; got != want {
				t.Errorf("missing: %v, want %v", got, want)
			}
		})
	}
}

// TestLeaderYieldsOnlyToServedSibling: refused or cut off alone, then out for all, or back
// for all. It is asked every 100 ms, and each failure is known a while after it was sent.
func TestLeaderYieldsOnlyToServedSibling(t *testing.T) {
	const cut, sec = 10 * time.Second, time.Second
	justServed := func(now time.Duration) time.Duration { return now - 100*ms }
	for name, c := range map[string]struct {
		known   time.Duration                                // how long a failure takes
		sibling func(now time.Duration) (sent time.Duration) // the newest that was served
		back    time.Duration                                // served again from then on
		from    time.Duration                                // yields within a second from then on, 0: never
	}{
		"a sibling is served":  {100 * ms, justServed, time.Hour, cut + 3*sec},
		"cut off, not refused": {1500 * ms, justServed, time.Hour, cut + 3*sec},
		"its siblings ask seldom": {100 * ms, func(now time.Duration) time.Duration { return now.Truncate(2*sec) - sec },
			time.Hour, cut + 6*sec},
		"out for all soon after": {100 * ms, func(now time.Duration) time.Duration { return min(now-100*ms, cut+2*sec) },
			time.Hour, 0},
		"out for all, then back, and a sibling asks first": {100 * ms, func(now time.Duration) time.Duration {
			if now > 90*sec {
				return now - 50*ms
			}
			return min(now-100*ms, cut+2*sec)
		}, 90 * sec, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var s Health
			var first time.Duration
			for now := time.Duration(0); now < 2*time.Minute && first == 0; now += 100 * ms {
				if sent := now - c.known; now%(300*ms) == 0 && sent >= 0 {
					if sent < cut || sent >= c.back {
						s.RecordOutcome(sent, Served)
					} else {
						s.RecordOutcome(sent, Refused)
					}
				}
				if s.ShouldYield(now, c.sibling(now)) {
					first = now
				}
			}
			if c.from == 0 && first != 0 || c.from != 0 && (first < c.from-300*ms || first > c.from+sec) {
				t.Errorf("yields at %v, want %v", first, c.from)
			}
		})
	}
}

// TestOwnSlownessIsNoRefusal: a process that hardly runs reads answers too late, and
// would give up leadership for that.
func TestOwnSlownessIsNoRefusal(t *testing.T) {
	var s Health
	recordOutcomes(&s, 0, 10*time.Second, Served)
	recordOutcomes(&s, 10*time.Second, 13*time.Second, NoAnswer)
	s.RecordDelay(13*time.Second, minTimerDelay)
	if s.RefusedAlone(13*time.Second, 13*time.Second) {
		t.Error("silence was held against the service while this process was late")
	}
	recordOutcomes(&s, 13*time.Second, 14*time.Second, NoAnswer)
	if !s.RefusedAlone(14*time.Second, 14*time.Second) {
		t.Error("silence after the halt counts for nothing")
	}
}

// TestOldAnswersDoNotCount: an answer to a question from before the cut says
// nothing about now, and one failure alone proves nothing.
func TestOldAnswersDoNotCount(t *testing.T) {
	var s Health
	s.RecordOutcome(10*time.Second, Served)
	s.RecordOutcome(12*time.Second, NoAnswer)
	if s.RefusedAlone(13*time.Second, 13*time.Second) {
		t.Error("one unlucky request made it alone")
	}
	recordOutcomes(&s, 11*time.Second, 12*time.Second, Refused)
	s.RecordOutcome(9*time.Second, Served)
	if !s.RefusedAlone(13*time.Second, 13*time.Second) {
		t.Error("an older answer hides the refusal")
	}
	if at, known := s.LastServed(); at != 10*time.Second || !known {
		t.Errorf("served %v, %v", at, known)
	}
}

// TestLeaderYieldsOnceSiblingIsConfirmed: the service goes out for all as the leader's lease ends;
// its siblings were served until just then.
func TestLeaderYieldsOnceSiblingIsConfirmed(t *testing.T) {
	const cut, out = 10 * time.Second, 12900 * ms
	for name, c := range map[string]struct {
		out  time.Duration
		want bool
	}{"a sibling is served still": {time.Hour, true}, "out for all just now": {out, false}} {
		t.Run(name, func(t *testing.T) {
			var s Health
			recordOutcomes(&s, 0, cut, Served)
			gave, asked, would := false, 0, false
			for now := cut; now < cut+30*time.Second; now += 100 * ms {
				if now%(300*ms) == 0 {
					s.RecordOutcome(now-100*ms, Refused)
				}
				sibling := min(now-100*ms, c.out)
				would = would || s.ShouldYield(now, sibling)
				yes, ask := s.YieldNow(now, sibling)
				gave = gave || yes
				if ask && !gave {
					asked++
					if now < c.out {
						s.ConfirmServed(now + 20*ms)
					}
				}
			}
			if gave != c.want || asked == 0 || asked > 10 || !would {
				t.Errorf("gave way: %v, want %v; asked %d times, would yield: %v", gave, c.want, asked, would)
			}
		})
	}
}

// A controller that has nothing to ask for a while is not cut off: only a request that was
// sent and failed shows that.
func TestNoRequestsAreNotUnreachable(t *testing.T) {
	var h Health
	if !h.Unreachable(3 * time.Second) {
		t.Error("never served, and not missing")
	}
	h.RecordOutcome(4*time.Second, Served)
	if h.Unreachable(20 * time.Second) {
		t.Error("missing though nothing was asked")
	}
	h.RecordOutcome(20*time.Second, NoAnswer)
	if !h.Unreachable(20 * time.Second) {
		t.Error("not missing after a request that was not answered")
	}
	h.RecordOutcome(21*time.Second, Busy)
	if h.Unreachable(22 * time.Second) {
		t.Error("missing though the service said that it is busy")
	}
}
