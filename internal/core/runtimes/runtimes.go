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
	maxClasses = 64
	minSamples = 12  // tasks of a class, until which the prior is told
	ratioScale = 100 // a task that takes as long as estimated
	maxRatio   = 100 * ratioScale
)

// The prior: estimates are often wrong by half.
const (
	priorMedian = 1.0
	priorP90    = 1.6
)

// Estimator is the state machine.
type Estimator struct {
	byClass map[model.Name]*hdrhistogram.Histogram
}

// New returns a book that has learnt nothing.
func New() *Estimator { return &Estimator{byClass: map[model.Name]*hdrhistogram.Histogram{}} }

// Add takes a task that has completed.
func (e *Estimator) Add(class model.Name, estimate, runTime time.Duration) {
	if estimate <= 0 || runTime <= 0 {
		return
	}
	h := e.byClass[class]
	if h == nil {
		if len(e.byClass) >= maxClasses {
			return
		}
		h = hdrhistogram.New(1, maxRatio, 2)
		e.byClass[class] = h
	}
	ratio := int64(float64(runTime) / float64(estimate) * ratioScale)
	_ = h.RecordValue(min(max(ratio, 1), maxRatio)) // it is in range
}

// Factor is how many times its estimate a task of the class takes, at a part of
// all: at 0.5 half of them take no longer.
func (e *Estimator) Factor(class model.Name, quantile float64) float64 {
	h := e.byClass[class]
	if h == nil || h.TotalCount() < minSamples {
		// A straight line through the prior's two points.
		return max(0.2, priorMedian+(quantile-0.5)*(priorP90-priorMedian)/0.4)
	}
	return float64(h.ValueAtQuantile(100*quantile)) / ratioScale
}

// SampleCount counts the tasks of a class that were learnt from.
func (e *Estimator) SampleCount(class model.Name) int64 {
	if h := e.byClass[class]; h != nil {
		return h.TotalCount()
	}
	return 0
}

// Copy is what is known now, for somebody who looks at it later.
func (e *Estimator) Copy() *Estimator {
	out := New()
	for c, h := range e.byClass {
		out.byClass[c] = hdrhistogram.Import(h.Export())
	}
	return out
}
