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

// ForecastReply is a forecast as operators see it. Until it is complete only Done
// is told. Spans are the least, the middle and the most of what was played, in
// seconds.
type ForecastReply struct {
	Name       string          `json:"name"`
	Done       float64         `json:"done"` // 1: complete
	Jobs       int             `json:"jobs"`
	Plays      int             `json:"plays"`
	Untold     int             `json:"untold_machines"`
	TookS      [3]float64      `json:"took_s"`
	Unfinished string          `json:"unfinished,omitempty"`
	Late       []LateJob       `json:"late"`
	Guarantees []LateGuarantee `json:"guarantees"`
}

// LateJob is a job that the plan delays.
type LateJob struct {
	Job    string     `json:"job"`
	Class  string     `json:"class"`
	DelayS [3]float64 `json:"delay_s"`
	EndS   [3]float64 `json:"end_s"` // from now, with the plan
	Why    string     `json:"why"`
	Moved  int        `json:"moved_tasks"`
	Past   string     `json:"past,omitempty"` // a window or deadline
}

// LateGuarantee is a team whose work within its guarantee would wait.
type LateGuarantee struct {
	Team     string  `json:"team"`
	WithoutS float64 `json:"without_s"`
	WithS    float64 `json:"with_s"`
}

func span(d [3]time.Duration) (s [3]float64) {
	for i := range d {
		s[i] = d[i].Round(100 * time.Millisecond).Seconds()
	}
	return s
}

func (p *draining) forecastReply(x *prophecy) ForecastReply {
	r, names := x.result, p.l.n.names
	out := ForecastReply{Name: x.spec.Name, Done: 1, Jobs: r.Jobs, Plays: r.Runs, Untold: x.untold, TookS: span(r.Duration),
		Unfinished: r.Unfinished,
		Late:       []LateJob{}, Guarantees: []LateGuarantee{}}
	for i := range r.Delayed {
		l := &r.Delayed[i]
		j := LateJob{Job: wire.JobName(l.Spec.ID), Class: names.Classes.Name(l.Spec.Class), DelayS: span(l.Delay),
			EndS: span(l.End), Why: l.Reason,
			Moved: l.MovedTasks, Past: pastOf(l)}
		out.Late = append(out.Late, j)
	}
	for _, g := range r.Guarantees {
		out.Guarantees = append(out.Guarantees, LateGuarantee{names.Teams.Name(g.Team), g.Without.Seconds(),
			g.With.Seconds()})
	}
	return out
}

func pastOf(l *forecast.DelayedJob) string {
	switch {
	case l.Window != "":
		return l.Window
	case l.MissesDeadline:
		return "its deadline"
	}
	return ""
}

// statusOf tells refusals from malformed requests.
func statusOf(err error) int {
	var r *drain.RefusedError
	var q *quota.RefusedError
	if errors.As(err, &r) || errors.As(err, &q) {
		return http.StatusConflict
	}
	return http.StatusBadRequest
}
