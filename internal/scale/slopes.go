package scale

import (
	"errors"
	"fmt"
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"
)

// row is one region in one window: what was varied, and what it cost.
type row struct {
	report *Report
	window *Window
	region int
}

func (r *row) workers() WorkersStats { return r.window.Regions[r.region].Workers }
func (r *row) world() WorldStats     { return r.window.Regions[r.region].World }

func (r *row) perSecond(n int64) float64 { return float64(n) / r.window.Seconds }

// mean is the mean of a figure of the region's processes of a role.
func (r *row) mean(role Role, leader bool, f func(Usage) float64) float64 {
	sum, n := 0.0, 0
	for _, p := range r.window.Processes {
		if p.Role == role && p.Region == r.region && (role != RoleController || p.Leader == leader) {
			sum += f(p)
			n++
		}
	}
	if n == 0 {
		return math.NaN()
	}
	return sum / float64(n)
}

func (r *row) controllers() float64 {
	n := 0
	for _, p := range r.window.Processes {
		if p.Role == RoleController && p.Region == r.region {
			n++
		}
	}
	return float64(n)
}

// Variable is what a figure may grow with.
type Variable struct {
	Name string
	of   func(*row) float64
}

// Variables of a region.
var (
	varWorkers = Variable{"workers", func(r *row) float64 { return float64(r.workers().Up) }}
	varReports = Variable{"reports a second of a worker", func(r *row) float64 {
		return r.perSecond(r.workers().Reports) / float64(r.workers().Up)
	}}
	varOwn = Variable{"workers of a controller", func(r *row) float64 {
		return float64(r.workers().Up) / r.controllers()
	}}
	varStarts  = Variable{"starts a second", func(r *row) float64 { return r.perSecond(r.workers().Starts) }}
	varOwnEnds = Variable{"starts a second of a controller", func(r *row) float64 {
		return r.perSecond(r.workers().Starts) / r.controllers()
	}}
	varMembers = Variable{"controllers", (*row).controllers}
	varOpen    = Variable{"open jobs", func(r *row) float64 { return float64(r.world().Open) }}
	varJobs    = Variable{"jobs a second", func(r *row) float64 {
		w := r.world()
		return r.perSecond(int64(w.Accepted+w.Done)) / 2
	}}
)

// figure is what a role costs.
type figure struct {
	role, unit string
	of         func(*row) float64
	by         []Variable
}

func cores(u Usage) float64 { return u.Cores }
func mb(u Usage) float64    { return u.ResidentMB }

// figures are those of the capacity page, in its order.
var figures = []figure{
	{"worker, control part", "ms of processor a second", func(r *row) float64 {
		return 1000 * r.mean(RoleHollow, false, cores) / float64(r.workers().Up)
	}, []Variable{varReports}},
	{"worker, control part", "bytes a second", func(r *row) float64 {
		w := r.workers()
		return r.perSecond(w.BytesIn+w.BytesOut) / float64(w.Up)
	}, []Variable{varReports}},
	{"hollow workers, all of a region", "MB", func(r *row) float64 { return r.mean(RoleHollow, false, mb) },
		[]Variable{varWorkers}},
	{"controller that does not lead", "cores", func(r *row) float64 { return r.mean(RoleController, false, cores) },
		[]Variable{varOwn, varOwnEnds}},
	{"controller that does not lead", "MB", func(r *row) float64 { return r.mean(RoleController, false, mb) },
		[]Variable{varOwn}},
	{"leader of a region", "cores", func(r *row) float64 { return r.mean(RoleController, true, cores) },
		[]Variable{varWorkers, varStarts, varOpen}},
	{"leader of a region", "MB", func(r *row) float64 { return r.mean(RoleController, true, mb) },
		[]Variable{varWorkers, varOwn}},
	{"state service of a region", "requests a second", func(r *row) float64 {
		w := r.world()
		all, _ := w.StateRequests()
		return float64(all) / r.window.Seconds
	}, []Variable{varMembers, varJobs, varStarts}},
	{"state service of a region", "changes a second", func(r *row) float64 {
		return r.perSecond(int64(r.world().StateChanges))
	}, []Variable{varJobs, varStarts}},
}

// Slope is a figure as a linear function of what it grows with, by least squares.
type Slope struct {
	Role, Unit string
	Base       float64   // with all variables 0
	By         []string  // variables
	Each       []float64 // for one more of each
	RMS, Worst float64   // residuals: root of the mean square, and the largest
	R2         float64
	Rows       int
}

// errTooFew tells that a slope can't be told.
var errTooFew = errors.New("too few windows: two more than a figure has variables are needed")

// Slopes fits all figures to the steady windows of some reports.
func Slopes(reports []*Report) ([]Slope, error) {
	rows := steady(reports)
	out := make([]Slope, 0, len(figures))
	for i := range figures {
		s, err := figures[i].fit(rows)
		if err != nil {
			return nil, fmt.Errorf("%s, %s: %w", figures[i].role, figures[i].unit, err)
		}
		out = append(out, s)
	}
	return out, nil
}

func steady(reports []*Report) (rows []*row) {
	for _, r := range reports {
		for w := range r.Windows {
			if r.Windows[w].Name != steadyWindow {
				continue
			}
			for i := range r.Windows[w].Regions {
				rows = append(rows, &row{r, &r.Windows[w], i})
			}
		}
	}
	return rows
}

func (f *figure) fit(rows []*row) (Slope, error) {
	s := Slope{Role: f.role, Unit: f.unit, Rows: len(rows)}
	n, k := len(rows), 1+len(f.by)
	if n < k+1 {
		return s, errTooFew
	}
	x, y := mat.NewDense(n, k, nil), mat.NewVecDense(n, nil)
	for i, r := range rows {
		x.Set(i, 0, 1)
		for j, v := range f.by {
			x.Set(i, j+1, v.of(r))
		}
		y.SetVec(i, f.of(r))
	}
	var beta mat.VecDense
	if err := beta.SolveVec(x, y); err != nil { // QR: least squares
		return s, fmt.Errorf("least squares: %w", err)
	}
	s.Base = beta.AtVec(0)
	for j, v := range f.by {
		s.By = append(s.By, v.Name)
		s.Each = append(s.Each, beta.AtVec(j+1))
	}
	var at mat.VecDense
	at.MulVec(x, &beta)
	sum := 0.0
	for i := range n {
		off := math.Abs(y.AtVec(i) - at.AtVec(i))
		sum += off * off
		s.Worst = max(s.Worst, off)
	}
	s.RMS = math.Sqrt(sum / float64(n))
	s.R2 = stat.RSquaredFrom(at.RawVector().Data, y.RawVector().Data, nil)
	return s, nil
}

// Prediction of a figure of a run that the slopes do not rest on.
type Prediction struct {
	Role, Unit          string
	Predicted, Measured float64
}

// Predict tells what slopes say of a run's steady window, region by region on average,
// beside what was measured.
func Predict(slopes []Slope, run *Report) ([]Prediction, error) {
	rows := steady([]*Report{run})
	if len(rows) == 0 {
		return nil, errTooFew
	}
	out := make([]Prediction, 0, len(figures))
	for i := range figures {
		f, s := &figures[i], &slopes[i]
		p := Prediction{Role: f.role, Unit: f.unit}
		for _, r := range rows {
			at := s.Base
			for j, v := range f.by {
				at += s.Each[j] * v.of(r)
			}
			p.Predicted += at / float64(len(rows))
			p.Measured += f.of(r) / float64(len(rows))
		}
		out = append(out, p)
	}
	return out, nil
}
