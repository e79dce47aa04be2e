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

// since takes what was counted before off the counts.
func (w WorkersStats) since(before WorkersStats) WorkersStats {
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

func (w WorldStats) since(before WorldStats) WorldStats {
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
	w.Cancels = w.Cancels.since(before.Cancels)
	w.LimitChanges = w.LimitChanges.since(before.LimitChanges)
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

// standInBound is the part of a core at which a stand-in may hold up what it is asked for.
const standInBound = 0.9

// verdict notes what went wrong.
func (r *Report) verdict(format string, args ...any) {
	r.Verdicts = append(r.Verdicts, fmt.Sprintf(format, args...))
}

// judge tells what went wrong.
func (r *Report) judge() {
	for _, w := range r.Windows {
		for i, reg := range w.Regions {
			if n := reg.Workers.BrokenCount; n > 0 {
				r.verdict("%s, region %d: %d rules broken: %v", w.Name, i, n, reg.Workers.Broken)
			}
			if reg.World.Lost > 0 {
				r.verdict("%s, region %d: %d jobs lost: %v", w.Name, i, reg.World.Lost, reg.World.Losses)
			}
			if n := reg.World.Cancels.StillRun; n > 0 {
				r.verdict("%s, region %d: %d cancelled jobs have tasks on machines after cancel_s", w.Name, i, n)
			}
			if n := reg.World.LimitChanges.Stale; n > 0 {
				r.verdict("%s, region %d: %d limits were told that had been changed before", w.Name, i, n)
			}
		}
		for _, u := range w.Processes {
			if u.Role == RoleWorld && u.Cores > standInBound {
				r.verdict("%s: %s uses %.2f cores: its own bound may show in the figures", w.Name, u.Name, u.Cores)
			}
		}
	}
}

// write stores the report.
func (r *Report) write(path string) error {
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
