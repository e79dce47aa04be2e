package node

import (
	"errors"
	"net/http"
	"time"

	"honeylock/internal/core/drain"
	"honeylock/internal/core/forecast"
	"honeylock/internal/core/quota"
	"honeylock/internal/wire"
)

// ForecastReply is a forecast as operators see it. Until it is complete, only Name and Done are
// set. Durations are the minimum, median and maximum of all runs, in seconds.
type ForecastReply struct {
	Name       string             `json:"name"`
	Done       float64            `json:"done"` // progress; 1: complete
	Jobs       int                `json:"jobs"`
	Runs       int                `json:"plays"`                // simulated runs
	Unreported int                `json:"untold_machines"`      // machines left out: their tasks are not known
	TookS      [3]float64         `json:"took_s"`               // duration of the plan
	Unfinished string             `json:"unfinished,omitempty"` // why the plan did not finish
	Delayed    []DelayedJob       `json:"late"`
	Guarantees []DelayedGuarantee `json:"guarantees"`
}

// DelayedJob is a job that the plan delays.
type DelayedJob struct {
	Job         string     `json:"job"`
	Class       string     `json:"class"`
	DelayS      [3]float64 `json:"delay_s"`
	EndS        [3]float64 `json:"end_s"` // from now, with the plan
	Reason      string     `json:"why"`   // reason for the delay
	MovedTasks  int        `json:"moved_tasks"`
	MissedLimit string     `json:"past,omitempty"` // window or deadline that the job misses
}

// DelayedGuarantee is a team whose tasks within its guarantee would wait longer for capacity.
type DelayedGuarantee struct {
	Team     string  `json:"team"`
	WithoutS float64 `json:"without_s"` // longest wait without the plan
	WithS    float64 `json:"with_s"`    // longest wait with the plan
}

// toSeconds converts durations to seconds, rounded to tenths.
func toSeconds(d [3]time.Duration) (s [3]float64) {
	for i := range d {
		s[i] = d[i].Round(100 * time.Millisecond).Seconds()
	}
	return s
}

// forecastReply converts a complete forecast for operators.
func (dm *drainManager) forecastReply(run *forecastRun) ForecastReply {
	r, names := run.result, dm.lead.node.names
	out := ForecastReply{Name: run.spec.Name, Done: 1, Jobs: r.Jobs, Runs: r.Runs, Unreported: run.unreported,
		TookS:      toSeconds(r.Duration),
		Unfinished: r.Unfinished,
		Delayed:    []DelayedJob{}, Guarantees: []DelayedGuarantee{}}
	for i := range r.Delayed {
		delayed := &r.Delayed[i]
		j := DelayedJob{Job: wire.JobName(delayed.Spec.ID), Class: names.Classes.Name(delayed.Spec.Class),
			DelayS: toSeconds(delayed.Delay),
			EndS:   toSeconds(delayed.End), Reason: delayed.Reason,
			MovedTasks: delayed.MovedTasks, MissedLimit: missedLimit(delayed)}
		out.Delayed = append(out.Delayed, j)
	}
	for _, g := range r.Guarantees {
		out.Guarantees = append(out.Guarantees, DelayedGuarantee{names.Teams.Name(g.Team), g.Without.Seconds(),
			g.With.Seconds()})
	}
	return out
}

// missedLimit names the window or deadline that a delayed job misses, "" if it misses none.
func missedLimit(job *forecast.DelayedJob) string {
	switch {
	case job.Window != "":
		return job.Window
	case job.MissesDeadline:
		return "its deadline"
	}
	return ""
}

// errorStatus returns the HTTP status of a failed change: 409 if it was refused in the present
// state, 400 if the request is malformed.
func errorStatus(err error) int {
	var drainRefused *drain.RefusedError
	var quotaRefused *quota.RefusedError
	if errors.As(err, &drainRefused) || errors.As(err, &quotaRefused) {
		return http.StatusConflict
	}
	return http.StatusBadRequest
}
