// Package runtimes learns how wrong owners' estimates of run times are, by class.
// It is a state machine of the leader's; what it has learnt is a hint, and begins
// anew with each leader.
package runtimes

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"honeylock/internal/core/model"
)

const (
	mostClasses = 64
	enough      = 12  // tasks of a class, until which the prior is told
	scale       = 100 // a task that takes as long as estimated
	most        = 100 * scale
)

// The prior: estimates are often wrong by half.
const (
	priorHalf = 1.0
	priorHigh = 1.6
)

// Estimator is the state machine.
type Estimator struct {
	of map[model.Name]*hdrhistogram.Histogram
}

// New returns a book that has learnt nothing.
func New() *Estimator { return &Estimator{of: map[model.Name]*hdrhistogram.Histogram{}} }

// Add takes a task that has completed.
func (b *Estimator) Add(class model.Name, estimate, ran time.Duration) {
	if estimate <= 0 || ran <= 0 {
		return
	}
	h := b.of[class]
	if h == nil {
		if len(b.of) >= mostClasses {
			return
		}
		h = hdrhistogram.New(1, most, 2)
		b.of[class] = h
	}
	v := int64(float64(ran) / float64(estimate) * scale)
	_ = h.RecordValue(min(max(v, 1), most)) // it is in range
}

// Factor is how many times its estimate a task of the class takes, at a part of
// all: at 0.5 half of them take no longer.
func (b *Estimator) Factor(class model.Name, part float64) float64 {
	h := b.of[class]
	if h == nil || h.TotalCount() < enough {
		// A straight line through the prior's two points.
		return max(0.2, priorHalf+(part-0.5)*(priorHigh-priorHalf)/0.4)
	}
	return float64(h.ValueAtQuantile(100*part)) / scale
}

// SampleCount counts the tasks of a class that were learnt from.
func (b *Estimator) SampleCount(class model.Name) int64 {
	if h := b.of[class]; h != nil {
		return h.TotalCount()
	}
	return 0
}

// Copy is what is known now, for somebody who looks at it later.
func (b *Estimator) Copy() *Estimator {
	out := New()
	for c, h := range b.of {
		out.of[c] = hdrhistogram.Import(h.Export())
	}
	return out
}
