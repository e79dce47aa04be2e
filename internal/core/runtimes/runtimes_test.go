package runtimes

import (
	"math"
	"testing"
	"time"
)

func TestFactorsAreEstimated(t *testing.T) {
	b := New()
	near := func(what string, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 0.06 {
			t.Errorf("%s: %v, want %v", what, got, want)
		}
	}
	near("the prior's middle", b.Factor(1, 0.5), 1)
	near("the prior's most", b.Factor(1, 0.9), 1.6)
	for i := range 100 {
		b.Add(1, 10*time.Second, time.Duration(20+i/10)*time.Second/1)
		b.Add(2, 0, time.Second) // no estimate: nothing to learn
	}
	near("half", b.Factor(1, 0.5), 2.4)
	near("most", b.Copy().Factor(1, 0.95), 2.9)
	if b.SampleCount(2) != 0 || b.SampleCount(1) != 100 {
		t.Errorf("%d, %d known", b.SampleCount(1), b.SampleCount(2))
	}
	near("another class", b.Factor(3, 0.5), 1)
}
