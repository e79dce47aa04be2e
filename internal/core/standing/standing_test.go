package standing

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// script notes one outcome every 300 ms from one time to another.
func script(s *Standing, from, to time.Duration, o Outcome) {
	for at := from; at < to; at += 300 * ms {
		s.Note(at, o)
	}
}

func TestOnlyARefusalWhileASiblingIsServedIsOne(t *testing.T) {
	for name, c := range map[string]struct {
		outcome Outcome
		sibling time.Duration
		want    bool
	}{
		"refused while a sibling is served":       {Refused, 12 * time.Second, true},
		"no answer while a sibling is served":     {Silent, 12 * time.Second, true},
		"refused, and no sibling served: outage":  {Refused, 10*time.Second + 500*ms, false},
		"over the rate while a sibling is served": {Busy, 12 * time.Second, false},
		"served while a sibling is served":        {Served, 12 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			var s Standing
			script(&s, 0, 10*time.Second, Served)
			script(&s, 10*time.Second, 13*time.Second, c.outcome)
			if got := s.Alone(13*time.Second, c.sibling); got != c.want {
				t.Errorf("alone: %v, want %v", got, c.want)
			}
			if got, want := s.Missing(13*time.Second), c.outcome == Refused || c.outcome == Silent; got != want {
				t.Errorf("missing: %v, want %v", got, want)
			}
		})
	}
}

// TestALeaderYieldsOnlyToOneThatIsServed: refused alone, then out for all, or back for all.
func TestALeaderYieldsOnlyToOneThatIsServed(t *testing.T) {
	for name, c := range map[string]struct {
		at, sibling time.Duration
		want        bool
	}{
		"a sibling is served":                           {13 * time.Second, 12600 * ms, true},
		"its key can't be free yet":                     {12600 * ms, 12500 * ms, false},
		"no sibling is served any more":                 {13 * time.Second, 12400 * ms, false},
		"its siblings ask seldom":                       {16 * time.Second, 13500 * ms, true},
		"an outage of long":                             {19 * time.Second, 13500 * ms, false},
		"back for all, and a sibling has asked first":   {19 * time.Second, 18950 * ms, false},
		"back for the others, and refused after that":   {19 * time.Second, 18600 * ms, true},
		"a sibling was served before all were, no more": {13 * time.Second, 11 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			var s Standing
			script(&s, 0, 10*time.Second, Served)
			script(&s, 10*time.Second, c.at, Refused)
			if got := s.Yields(c.at, c.sibling); got != c.want {
				t.Errorf("yields: %v, want %v", got, c.want)
			}
		})
	}
}

// TestOwnSlownessIsNoRefusal: a process that hardly runs reads answers too late, and
// would give up leadership for that.
func TestOwnSlownessIsNoRefusal(t *testing.T) {
	var s Standing
	script(&s, 0, 10*time.Second, Served)
	script(&s, 10*time.Second, 13*time.Second, Silent)
	s.Late(13*time.Second, lateBy)
	if s.Alone(13*time.Second, 13*time.Second) {
		t.Error("silence was held against the service while this process was late")
	}
	script(&s, 13*time.Second, 14*time.Second, Silent)
	if !s.Alone(14*time.Second, 14*time.Second) {
		t.Error("silence after the halt counts for nothing")
	}
}

// TestLateAnswersDoNotCount: an answer to a question from before the cut says
// nothing about now, and one failure alone proves nothing.
func TestLateAnswersDoNotCount(t *testing.T) {
	var s Standing
	s.Note(10*time.Second, Served)
	s.Note(12*time.Second, Silent)
	if s.Alone(13*time.Second, 13*time.Second) {
		t.Error("one unlucky request made it alone")
	}
	script(&s, 11*time.Second, 12*time.Second, Refused)
	s.Note(9*time.Second, Served)
	if !s.Alone(13*time.Second, 13*time.Second) {
		t.Error("an older answer hides the refusal")
	}
	if at, known := s.Served(); at != 10*time.Second || !known {
		t.Errorf("served %v, %v", at, known)
	}
}
