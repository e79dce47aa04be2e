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
	near("prior, median", b.Factor(1, 0.5), 1)
	near("prior, 90th percentile", b.Factor(1, 0.9), 1.6)
	for i := range 100 {
		b.Add(1, 10*time.Second, time.Duration(20+i/10)*time.Second/1)
		b.Add(2, 0, time.Second) // no estimate: ignored
	}
	near("median", b.Factor(1, 0.5), 2.4)
	near("95th percentile", b.Copy().Factor(1, 0.95), 2.9)
	if b.SampleCount(2) != 0 || b.SampleCount(1) != 100 {
		t.Errorf("%d, %d samples", b.SampleCount(1), b.SampleCount(2))
	}
	near("another class", b.Factor(3, 0.5), 1)
}
