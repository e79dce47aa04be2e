package cancellog

import (
	"slices"
	"testing"
	"time"

	"honeylock/internal/core/model"
)

const s = time.Second

func TestAPictureIsAsYoungAsTheOldestWord(t *testing.T) {
	for name, c := range map[string]struct {
		words []Acknowledgement
		want  time.Duration
	}{
		"all have told":                      {[]Acknowledgement{{0, 30 * s}, {5 * s, 28 * s}}, 28 * s},
		"alone":                              {nil, 40 * s},
		"one has not told since":             {[]Acknowledgement{{0, 30 * s}, {0, 12 * s}}, 20 * s},
		"one began after the picture":        {[]Acknowledgement{{0, 30 * s}, {21 * s, 30 * s}}, 20 * s},
		"one began just with it":             {[]Acknowledgement{{20 * s, 30 * s}}, 30 * s},
		"one has said nothing at all so far": {[]Acknowledgement{{}, {0, 30 * s}}, 20 * s},
	} {
		var p Picture
		p.Read(20 * s)
		p.Heard(40*s, c.words)
		if p.Good(0) != c.want {
			t.Errorf("%s: %v, want %v", name, p.Good(0), c.want)
		}
	}
	// Nobody acts on a picture that was never made.
	var none Picture
	none.Heard(40*s, nil)
	if none.Good(30*s) != 0 {
		t.Errorf("good until %v before anything was read", none.Good(30*s))
	}
	// What was known once stays known; a gap is closed by the state service alone.
	var p Picture
	p.Read(20 * s)
	p.Heard(40*s, []Acknowledgement{{0, 39 * s}})
	p.Heard(50*s, []Acknowledgement{{45 * s, 50 * s}})
	if p.Good(0) != 39*s {
		t.Errorf("a word from after the gap made it %v", p.Good(0))
	}
	p.Read(46 * s)
	p.Heard(50*s, []Acknowledgement{{45 * s, 50 * s}})
	if p.Good(0) != 50*s {
		t.Errorf("%v once the gap is closed", p.Good(0))
	}
}

func TestALogIsToldOnceAndSaysFromWhenOnItIsWhole(t *testing.T) {
	l := NewLog(3 * s)
	for i, job := range []model.JobID{7, 8, 7} {
		l.Told(4*s+time.Duration(i)*time.Minute, job)
	}
	jobs, next := l.From(0)
	if !slices.Equal(jobs, []model.JobID{7, 8}) || l.Since() != 3*s {
		t.Fatalf("%v since %v", jobs, l.Since())
	}
	if again, _ := l.From(next); len(again) != 0 {
		t.Errorf("told %v again", again)
	}
	l.Told(4*s+keptFor+s, 9) // the first is too old
	if jobs, next = l.From(next); !slices.Equal(jobs, []model.JobID{9}) || l.Since() <= 4*s {
		t.Errorf("%v since %v", jobs, l.Since())
	}
	if jobs, _ = l.From(0); !slices.Equal(jobs, []model.JobID{8, 9}) || next != 3 {
		t.Errorf("%v to one who asks for all, next %d", jobs, next)
	}
}

func TestAnAnswerAskedForBeforeATellingShowsNothing(t *testing.T) {
	var p Picture
	p.Read(10 * s)
	if !p.Told(20*s, 7) || p.Told(21*s, 7) || !p.Over(7) || p.Over(8) {
		t.Error("a telling counts once, for its job")
	}
	p.Read(19 * s) // asked for before: it may have shown the job
	if !p.Over(7) {
		t.Error("forgotten too early")
	}
	p.Read(21 * s)
	if p.Over(7) {
		t.Error("kept for ever")
	}
}
