package scale

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// SchemaVersion of a report. It grows when a field changes its meaning.
const SchemaVersion = 1

// Report is what a run measured.
type Report struct {
	Schema   int
	Commit   string // of the sources that were built, "+" behind it if they were changed
	Version  string
	At       time.Time
	Machine  MachineFacts
	Options  Options
	Windows  []Window
	Verdicts []string // what went wrong: a rule broken, a stand-in at its own bound; none: nil
}

// MachineFacts are this machine's.
type MachineFacts struct {
	CPUs     int
	MemoryMB float64
}

// Window is a part of a run.
type Window struct {
	Name      string // steady, or the fault it begins with
	Seconds   float64
	Processes []Usage
	Regions   []RegionWindow
	// AccountedS is how long after a fault the region's leader had accounted for all
	// machines, by its own word; 0: not told.
	AccountedS float64 `json:",omitempty"`
}

// RegionWindow is what a region's workers and users counted in a window. Counts are of the
// window, but for what is told as a state: Up, Running, Open, keys and bytes.
type RegionWindow struct {
	Workers WorkersStats
	World   WorldStats
}

// minus takes what was counted before off the counts.
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
	w.State = append([]FrontStats(nil), w.State...)
	for i := range w.State {
		if i < len(before.State) {
			w.State[i].Requests -= before.State[i].Requests
			w.State[i].Refused -= before.State[i].Refused
			w.State[i].Watches -= before.State[i].Watches
		}
	}
	return w
}

// StateRequests are all controllers' requests to the state service, and those of them that
// it refused for its rate.
func (w *WorldStats) StateRequests() (all, refused int) {
	for _, f := range w.State {
		all += f.Requests
		refused += f.Refused
	}
	return all, refused
}

// maxStandInCores is the part of a core at which a stand-in may hold up what it is asked for.
const maxStandInCores = 0.9

// addVerdict notes what went wrong.
func (r *Report) addVerdict(format string, args ...any) {
	r.Verdicts = append(r.Verdicts, fmt.Sprintf(format, args...))
}

// addVerdicts tells what went wrong.
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
				r.addVerdict("%s, region %d: %d cancelled jobs have tasks on machines after cancel_s", window.Name, i, n)
			}
			if n := region.World.LimitChanges.Stale; n > 0 {
				r.addVerdict("%s, region %d: %d limits were told that had been changed before", window.Name, i, n)
			}
		}
		for _, usage := range window.Processes {
			if usage.Role == RoleWorld && usage.Cores > maxStandInCores {
				r.addVerdict("%s: %s uses %.2f cores: its own bound may show in the figures", window.Name, usage.Name, usage.Cores)
			}
		}
	}
}

// writeFile stores the report.
func (r *Report) writeFile(path string) error {
	b, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := os.WriteFile(path, append(b, '\n'), 0o644); err != nil {
		return fmt.Errorf("--report: %w", err)
	}
	return nil
}

// ReadReport reads a report.
func ReadReport(path string) (*Report, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	var r Report
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if r.Schema != SchemaVersion {
		return nil, fmt.Errorf("%s: schema %d, this program reads %d", path, r.Schema, SchemaVersion)
	}
	return &r, nil
}
