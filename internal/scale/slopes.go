package scale

import (
	"errors"
	"fmt"
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"
)

// observation is one region in one window: a data point of the fits.
type observation struct {
	report *Report
	window *Window
	region int
}

func (r *observation) workers() WorkersStats { return r.window.Regions[r.region].Workers }
func (r *observation) world() WorldStats     { return r.window.Regions[r.region].World }

// perSecond converts a count of the window to a rate.
func (r *observation) perSecond(n int64) float64 { return float64(n) / r.window.Seconds }

// meanUsage returns the mean of a usage value over the region's processes of a role. For controllers, leader selects
// either the leader or the others. It returns NaN if there is no such process.
func (r *observation) meanUsage(role Role, leader bool, value func(Usage) float64) float64 {
	sum, n := 0.0, 0
	for _, p := range r.window.Processes {
		if p.Role == role && p.Region == r.region && (role != RoleController || p.Leader == leader) {
			sum += value(p)
			n++
		}
	}
	if n == 0 {
		return math.NaN()
	}
	return sum / float64(n)
}

// controllers returns the number of controllers of the region.
func (r *observation) controllers() float64 {
	n := 0
	for _, p := range r.window.Processes {
		if p.Role == RoleController && p.Region == r.region {
			n++
		}
	}
	return float64(n)
}

// Variable is an independent variable of the fits.
type Variable struct {
	Name  string
	value func(*observation) float64
}

// The variables of an observation.
var (
	workersVariable          = Variable{"workers", func(r *observation) float64 { return float64(r.workers().Up) }}
	reportsPerWorkerVariable = Variable{"reports a second of a worker", func(r *observation) float64 {
		return r.perSecond(r.workers().Reports) / float64(r.workers().Up)
	}}
	workersPerControllerVariable = Variable{"workers of a controller", func(r *observation) float64 {
		return float64(r.workers().Up) / r.controllers()
	}}
	startsVariable = Variable{"starts a second", func(r *observation) float64 {
		return r.perSecond(r.workers().Starts)
	}}
	startsPerControllerVariable = Variable{"starts a second of a controller", func(r *observation) float64 {
		return r.perSecond(r.workers().Starts) / r.controllers()
	}}
	controllersVariable = Variable{"controllers", (*observation).controllers}
	openJobsVariable    = Variable{"open jobs", func(r *observation) float64 { return float64(r.world().Open) }}
	jobsVariable        = Variable{"jobs a second", func(r *observation) float64 {
		w := r.world()
		return r.perSecond(int64(w.Accepted+w.Done)) / 2
	}}
)

// figure is a resource that a role uses, with the variables on which it depends.
type figure struct {
	role, unit string
	value      func(*observation) float64
	variables  []Variable
}

func coresOf(u Usage) float64      { return u.Cores }
func residentMBOf(u Usage) float64 { return u.ResidentMB }

// figures lists the figures of the capacity page in the page's order.
var figures = []figure{
	{"worker, control part", "ms of processor a second", func(r *observation) float64 {
		return 1000 * r.meanUsage(RoleHollow, false, coresOf) / float64(r.workers().Up)
	}, []Variable{reportsPerWorkerVariable}},
	{"worker, control part", "bytes a second", func(r *observation) float64 {
		w := r.workers()
		return r.perSecond(w.BytesIn+w.BytesOut) / float64(w.Up)
	}, []Variable{reportsPerWorkerVariable}},
	{"hollow workers, all of a region", "MB", func(r *observation) float64 {
		return r.meanUsage(RoleHollow, false, residentMBOf)
	}, []Variable{workersVariable}},
	{"controller that does not lead", "cores", func(r *observation) float64 {
		return r.meanUsage(RoleController, false, coresOf)
	}, []Variable{workersPerControllerVariable, startsPerControllerVariable}},
	{"controller that does not lead", "MB", func(r *observation) float64 {
		return r.meanUsage(RoleController, false, residentMBOf)
	}, []Variable{workersPerControllerVariable}},
	{"leader of a region", "cores", func(r *observation) float64 { return r.meanUsage(RoleController, true, coresOf) },
		[]Variable{workersVariable, startsVariable, openJobsVariable}},
	{"leader of a region", "MB", func(r *observation) float64 { return r.meanUsage(RoleController, true, residentMBOf) },
		[]Variable{workersVariable, workersPerControllerVariable}},
	{"state service of a region", "requests a second", func(r *observation) float64 {
		w := r.world()
		all, _ := w.StateRequests()
		return float64(all) / r.window.Seconds
	}, []Variable{controllersVariable, jobsVariable, startsVariable}},
	{"state service of a region", "changes a second", func(r *observation) float64 {
		return r.perSecond(int64(r.world().StateChanges))
	}, []Variable{jobsVariable, startsVariable}},
}

// Slope is a figure as a linear function of its variables, fitted by least squares.
type Slope struct {
	Role, Unit       string
	Intercept        float64   // intercept: the figure when all variables are 0
	Variables        []string  // names of the variables
	Coefficients     []float64 // coefficient of each variable
	RMS, MaxResidual float64   // root mean square and largest absolute residual
	R2               float64
	Rows             int
}

// errTooFewWindows is returned when there are too few observations for a fit.
var errTooFewWindows = errors.New("too few windows: a fit needs at least two more than the figure has variables")

// FitSlopes fits all figures to the steady windows of the reports.
func FitSlopes(reports []*Report) ([]Slope, error) {
	observations := steadyObservations(reports)
	out := make([]Slope, 0, len(figures))
	for i := range figures {
		s, err := figures[i].fit(observations)
		if err != nil {
			return nil, fmt.Errorf("%s, %s: %w", figures[i].role, figures[i].unit, err)
		}
		out = append(out, s)
	}
	return out, nil
}

// steadyObservations returns an observation for each region in each steady window.
func steadyObservations(reports []*Report) (observations []*observation) {
	for _, report := range reports {
		for index := range report.Windows {
			if report.Windows[index].Name != steadyWindow {
				continue
			}
			for i := range report.Windows[index].Regions {
				observations = append(observations, &observation{report, &report.Windows[index], i})
			}
		}
	}
	return observations
}

// fit fits the figure to the observations.
func (f *figure) fit(observations []*observation) (Slope, error) {
	slope := Slope{Role: f.role, Unit: f.unit, Rows: len(observations)}
	rows, columns := len(observations), 1+len(f.variables)
	if rows < columns+1 {
		return slope, errTooFewWindows
	}
	inputs, outputs := mat.NewDense(rows, columns, nil), mat.NewVecDense(rows, nil)
	for i, r := range observations {
		inputs.Set(i, 0, 1)
		for j, variable := range f.variables {
			inputs.Set(i, j+1, variable.value(r))
		}
		outputs.SetVec(i, f.value(r))
	}
	var coefficients mat.VecDense
	if err := coefficients.SolveVec(inputs, outputs); err != nil { // least squares by QR decomposition
		return slope, fmt.Errorf("least squares: %w", err)
	}
	slope.Intercept = coefficients.AtVec(0)
	for j, variable := range f.variables {
		slope.Variables = append(slope.Variables, variable.Name)
		slope.Coefficients = append(slope.Coefficients, coefficients.AtVec(j+1))
	}
	var predicted mat.VecDense
	predicted.MulVec(inputs, &coefficients)
	sumOfSquares := 0.0
	for i := range rows {
		residual := math.Abs(outputs.AtVec(i) - predicted.AtVec(i))
		sumOfSquares += residual * residual
		slope.MaxResidual = max(slope.MaxResidual, residual)
	}
	slope.RMS = math.Sqrt(sumOfSquares / float64(rows))
	slope.R2 = stat.RSquaredFrom(predicted.RawVector().Data, outputs.RawVector().Data, nil)
	return slope, nil
}

// Prediction compares the predicted and the measured value of a figure, for a run that was not used in the fit.
type Prediction struct {
	Role, Unit          string
	Predicted, Measured float64
}

// Predict returns the predicted and measured figures of a run's steady window, as means over its regions. The slopes
// must come from FitSlopes.
func Predict(slopes []Slope, run *Report) ([]Prediction, error) {
	observations := steadyObservations([]*Report{run})
	if len(observations) == 0 {
		return nil, errTooFewWindows
	}
	out := make([]Prediction, 0, len(figures))
	for i := range figures {
		figure, slope := &figures[i], &slopes[i]
		prediction := Prediction{Role: figure.role, Unit: figure.unit}
		for _, r := range observations {
			predicted := slope.Intercept
			for j, variable := range figure.variables {
				predicted += slope.Coefficients[j] * variable.value(r)
			}
			prediction.Predicted += predicted / float64(len(observations))
			prediction.Measured += figure.value(r) / float64(len(observations))
		}
		out = append(out, prediction)
	}
	return out, nil
}
