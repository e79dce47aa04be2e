package scale

import (
	"errors"
	"math"
	"testing"
)

// linearReport returns a report of one region whose usage is a known linear function of its size.
func linearReport(workers, controllers int, starts float64) *Report {
	const seconds = 10
	window := Window{Name: steadyWindow, Seconds: seconds}
	workersPerController := float64(workers) / float64(controllers)
	for i := range controllers {
		usage := Usage{Role: RoleController, Leader: i == 0,
			Cores:      0.01 + 0.0001*workersPerController + 0.0002*starts/float64(controllers),
			ResidentMB: 30 + 0.1*workersPerController}
		if usage.Leader {
			usage.Cores, usage.ResidentMB = 0.02+0.00005*float64(workers)+0.0001*starts,
				40+0.02*float64(workers)+0.1*workersPerController
		}
		window.Processes = append(window.Processes, usage)
	}
	window.Processes = append(window.Processes, Usage{Role: RoleHollow, Cores: 0.0001 * float64(workers),
		ResidentMB: 20 + 0.2*float64(workers)})
	window.Regions = []RegionWindow{{
		Workers: WorkersStats{Up: workers, Running: 16 * workers, Starts: int64(starts * seconds),
			Reports: int64(3*workers) + int64(starts),
			BytesIn: int64(workers) * 100, BytesOut: int64(workers) * 900},
		World: WorldStats{Open: 10 + workers/7, Accepted: 5 + workers%13, Done: 5 + controllers,
			State: []StateRequestStats{{Requests: (20 + controllers) * seconds}}, StateChanges: 10 * seconds},
	}}
	return &Report{Schema: SchemaVersion, Windows: []Window{window}}
}

// TestSlopesFitLinearCosts checks that the fit finds known linear functions and predicts a run of another size, and
// that too few reports are an error.
func TestSlopesFitLinearCosts(t *testing.T) {
	var reports []*Report
	for i, workers := range []int{100, 217, 450, 800, 1300, 1900} {
		reports = append(reports, linearReport(workers, 3+i*2, float64(10+(i*i*37)%101)))
	}
	slopes, err := FitSlopes(reports)
	if err != nil {
		t.Fatal(err)
	}
	found := false
	for _, s := range slopes {
		if s.Role != "controller that does not lead" || s.Unit != "cores" {
			continue
		}
		found = true
		if math.Abs(s.Intercept-0.01) > 1e-6 || math.Abs(s.Coefficients[0]-0.0001) > 1e-7 ||
			math.Abs(s.Coefficients[1]-0.0002) > 1e-6 ||
			s.R2 < 0.999 {
			t.Errorf("%+v", s)
		}
	}
	if !found {
		t.Error("no slope for the cores of controllers that do not lead")
	}
	predictions, err := Predict(slopes, linearReport(9400, 20, 3300))
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range predictions {
		if p.Unit == "MB" && math.Abs(p.Predicted-p.Measured) > 0.01*p.Measured {
			t.Errorf("%+v", p)
		}
	}
	if _, err := FitSlopes(reports[:2]); !errors.Is(err, errTooFewWindows) {
		t.Errorf("fit of two reports: %v, want errTooFewWindows", err)
	}
}
