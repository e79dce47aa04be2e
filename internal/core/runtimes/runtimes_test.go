package runtimes

import (
	"math"
	"testing"
	"time"
)

// A class with too few samples has the prior's factors, others those of their completed tasks. Tasks
// without an estimate are ignored.
func TestFactorsAreEstimated(t *testing.T) {
	estimator := New()
	wantNear := func(what string, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 0.06 {
			t.Errorf("%s: %v, want %v", what, got, want)
		}
	}
	wantNear("prior, median", estimator.Factor(1, 0.5), 1)
	wantNear("prior, 90th percentile", estimator.Factor(1, 0.9), 1.6)
	for i := range 100 {
		estimator.Add(1, 10*time.Second, time.Duration(20+i/10)*time.Second/1)
		estimator.Add(2, 0, time.Second) // no estimate: ignored
	}
	wantNear("median", estimator.Factor(1, 0.5), 2.4)
	wantNear("95th percentile", estimator.Copy().Factor(1, 0.95), 2.9)
	if estimator.SampleCount(2) != 0 || estimator.SampleCount(1) != 100 {
		t.Errorf("%d, %d samples", estimator.SampleCount(1), estimator.SampleCount(2))
	}
	wantNear("another class", estimator.Factor(3, 0.5), 1)
}
