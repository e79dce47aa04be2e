// Package runtimes estimates, for each class, the ratio of tasks' run times to their owners'
// estimates. It is a state machine of the leader. Its results are hints; they are not stored, so each
// leader starts without samples.
package runtimes

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"honeylock/internal/core/model"
)

const (
	maxClasses = 64
	minSamples = 12  // tasks of a class below which the prior is used
	ratioScale = 100 // stored value of the ratio 1
	maxRatio   = 100 * ratioScale
)

// The prior, used with too few samples: owners' estimates are often wrong by half.
const (
	priorMedian = 1.0
	priorP90    = 1.6
)

// Estimator holds the ratios of completed tasks by class, as histograms of hundredths.
type Estimator struct {
	byClass map[model.Name]*hdrhistogram.Histogram
}

// New returns an Estimator without samples.
func New() *Estimator { return &Estimator{byClass: map[model.Name]*hdrhistogram.Histogram{}} }

// Add records a completed task. Without an estimate or a known run time it is ignored.
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
	_ = h.RecordValue(min(max(ratio, 1), maxRatio)) // always in range
}

// Factor returns the ratio of run time to estimate for a class at a quantile: at 0.5, half of the
// tasks take no longer than that multiple of their estimates.
func (e *Estimator) Factor(class model.Name, quantile float64) float64 {
	h := e.byClass[class]
	if h == nil || h.TotalCount() < minSamples {
		// A straight line through the prior's median and 90th percentile.
		return max(0.2, priorMedian+(quantile-0.5)*(priorP90-priorMedian)/0.4)
	}
	return float64(h.ValueAtQuantile(100*quantile)) / ratioScale
}

// SampleCount returns the number of tasks of a class that were recorded.
func (e *Estimator) SampleCount(class model.Name) int64 {
	if h := e.byClass[class]; h != nil {
		return h.TotalCount()
	}
	return 0
}

// Copy returns a copy that later changes do not affect.
func (e *Estimator) Copy() *Estimator {
	out := New()
	for c, h := range e.byClass {
		out.byClass[c] = hdrhistogram.Import(h.Export())
	}
	return out
}
