package scale

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"honeylock/internal/exactjson"
)

// SchemaVersion is the version of the report format. It increases when a field changes its meaning.
const SchemaVersion = 1

// Report is the result of a run.
type Report struct {
	Schema   int
	Commit   string // commit that the program was built from; ends in "+" if there were uncommitted changes
	Version  string
	At       time.Time
	Machine  MachineFacts
	Options  Options
	Windows  []Window
	Verdicts []string // problems of the run: broken rules, stand-ins at their capacity; nil if none
}

// MachineFacts describes the machine of the run.
type MachineFacts struct {
	CPUs     int
	MemoryMB float64
}

// Window is the measurement of a part of a run.
type Window struct {
	Name      string // "steady", or the kind of the fault that it begins with
	Seconds   float64
	Processes []Usage
	Regions   []RegionWindow
	// AccountedS is the time in seconds from a fault until the region's leader reported that all machines are
	// accounted for; 0 if unknown.
	AccountedS float64 `json:",omitempty"`
}

// RegionWindow is what a region's workers and users counted in a window. Counts cover the window, except for those
// that are a current state: Up, Running, Open, keys and bytes.
type RegionWindow struct {
	Workers WorkersStats
	World   WorldStats
}

// minus returns the counts less those of an earlier snapshot.
func (w WorkersStats) minus(before WorkersStats) WorkersStats {
	w.Starts -= before.Starts
	w.Reports -= before.Reports
	w.Commands -= before.Commands
	w.Redirected -= before.Redirected
	w.Unanswered -= before.Unanswered
	w.Dropped -= before.Dropped
	w.Expired -= before.Expired
	w.BytesIn -= before.BytesIn
	w.BytesOut -= before.BytesOut
	w.BrokenCount -= before.BrokenCount
	return w
}

// minus returns the counts less those of an earlier snapshot.
func (w WorldStats) minus(before WorldStats) WorldStats {
	w.Submitted -= before.Submitted
	w.Accepted -= before.Accepted
	w.Refused -= before.Refused
	w.Done -= before.Done
	w.Lost -= before.Lost
	w.Polls -= before.Polls
	w.PollsUnanswered -= before.PollsUnanswered
	w.StateChanges -= before.StateChanges
	w.StateChangesRefused -= before.StateChangesRefused
	w.CloudCalls -= before.CloudCalls
	w.CloudRefused -= before.CloudRefused
	w.Cancels = w.Cancels.minus(before.Cancels)
	w.LimitChanges = w.LimitChanges.minus(before.LimitChanges)
	w.State = append([]StateRequestStats(nil), w.State...)
	for i := range w.State {
		if i < len(before.State) {
			w.State[i].Requests -= before.State[i].Requests
			w.State[i].Refused -= before.State[i].Refused
			w.State[i].Watches -= before.State[i].Watches
		}
	}
	return w
}

// StateRequests returns the number of requests that all controllers made to the state service, and how many of them
// its rate limit refused.
func (w *WorldStats) StateRequests() (requests, refused int) {
	for _, f := range w.State {
		requests += f.Requests
		refused += f.Refused
	}
	return requests, refused
}

// maxStandInCores is the processor use, in cores, above which a stand-in may delay its answers and so distort the
// figures.
const maxStandInCores = 0.9

// addVerdict adds a problem to the report.
func (r *Report) addVerdict(format string, args ...any) {
	r.Verdicts = append(r.Verdicts, fmt.Sprintf(format, args...))
}

// addVerdicts adds all problems of the run: broken rules, lost jobs, late cancellations, stale limits and overloaded
// stand-ins.
func (r *Report) addVerdicts() {
	for _, window := range r.Windows {
		for i, region := range window.Regions {
			if n := region.Workers.BrokenCount; n > 0 {
				r.addVerdict("%s, region %d: %d rules broken: %v", window.Name, i, n, region.Workers.Broken)
			}
			if region.World.Lost > 0 {
				r.addVerdict("%s, region %d: %d jobs lost: %v", window.Name, i, region.World.Lost, region.World.Losses)
			}
			if n := region.World.Cancels.StillRun; n > 0 {
				r.addVerdict("%s, region %d: %d cancelled jobs still had tasks on machines after cancel_s", window.Name, i, n)
			}
			if n := region.World.LimitChanges.Stale; n > 0 {
				r.addVerdict("%s, region %d: %d changed limits were stale when read from another controller", window.Name, i, n)
			}
		}
		for _, usage := range window.Processes {
			if usage.Role == RoleWorld && usage.Cores > maxStandInCores {
				r.addVerdict("%s: %s uses %.2f cores: its own capacity may limit the figures", window.Name, usage.Name, usage.Cores)
			}
		}
	}
}

// writeFile writes the report as JSON.
func (r *Report) writeFile(path string) error {
	encoded, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := os.WriteFile(path, append(encoded, '\n'), 0o644); err != nil {
		return fmt.Errorf("--report: %w", err)
	}
	return nil
}

// ReadReport reads a report file. It fails if the file has another schema version.
func ReadReport(path string) (*Report, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	var report Report
	if err := exactjson.Unmarshal(content, &report); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if report.Schema != SchemaVersion {
		return nil, fmt.Errorf("%s: schema %d, this program reads %d", path, report.Schema, SchemaVersion)
	}
	return &report, nil
}
