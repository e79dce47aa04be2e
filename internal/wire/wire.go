// Package wire converts between the JSON messages of the protocols and the types of
// internal/core/model. The protocol's own field names (Hive, Cell, Brood, ...) are used
// in this package only.
package wire

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"honeylock/internal/core/model"
	"honeylock/internal/exactjson"
)

// Submission is the body of POST /v1/jobs. The state service stores it too.
type Submission struct {
	NameID      *string  `json:"NameId"`
	Class       *string  `json:"Comb"`
	Team        *string  `json:"Colony"`
	Shape       *string  `json:"Shape"`
	Rank        *string  `json:"Rank"`
	Tasks       *int64   `json:"Cells"`
	CPUs        *float64 `json:"Cpus"`
	GPUs        *float64 `json:"Accelerators"`
	MemGB       *float64 `json:"MemGb"`
	Image       *string  `json:"Wax"`
	ImageGB     *float64 `json:"ImageGb"`
	Types       []string `json:"Breeds,omitempty"`
	Zone        *string  `json:"Yard,omitempty"`
	Together    *bool    `json:"Together"`
	Spread      *bool    `json:"Spread"`
	Spot        *bool    `json:"SwarmBoxes"`
	EstimateS   *float64 `json:"ForageS"`
	CheckpointS *float64 `json:"CapIntervalS"`
	SaveS       *float64 `json:"CapS"`
	DeadlineS   *float64 `json:"HarvestS,omitempty"`
	DependsOn   []string `json:"Awaits,omitempty"` // jobs that must be done before any task starts
	SubmittedMS int64    `json:"SubmittedMs,omitempty"`
}

// Limits on the fields of a submission.
const (
	maxTasks  = 100_000
	maxAmount = 1e9 // of resources and of seconds
	maxName   = 200 // bytes
)

// FieldError reports an invalid field of a submission. Its text is shown to the user.
type FieldError struct{ Field, Reason string }

func (e *FieldError) Error() string { return e.Field + " " + e.Reason }

// ParseSubmission decodes and checks a submission. Its error is shown to the user.
func ParseSubmission(body []byte) (*Submission, error) {
	trimmed := bytes.TrimLeft(body, " \t\r\n")
	if len(trimmed) == 0 || trimmed[0] != '{' {
		return nil, errors.New("the body must be a JSON object")
	}
	var fields userSubmission
	if err := exactjson.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("malformed: %w", err)
	}
	s := &fields.Submission
	return s, s.check()
}

// userSubmission is a submission as users send it. It takes the fields that only stored records have
// away from Submission: in a request they are unknown fields, which are ignored whatever they hold.
type userSubmission struct {
	Submission
	SubmittedMS json.RawMessage `json:"SubmittedMs"`
}

func (s *Submission) check() error {
	checkString := func(f string, v *string) error {
		if v == nil || *v == "" || len(*v) > maxName {
			return fmt.Errorf("%s is missing or invalid", f)
		}
		return nil
	}
	checkNumber := func(f string, v *float64, zero bool) error {
		if v == nil || math.IsNaN(*v) || *v < 0 || *v > maxAmount || (!zero && *v == 0) {
			return fmt.Errorf("%s is missing or out of range", f)
		}
		return nil
	}
	checkPresent := func(f string, v *bool) error {
		if v == nil {
			return fmt.Errorf("%s is missing", f)
		}
		return nil
	}
	for _, err := range []error{
		checkString("NameId", s.NameID), checkString("Comb", s.Class), checkString("Colony", s.Team),
		checkString("Shape", s.Shape), checkString("Rank", s.Rank), checkString("Wax", s.Image),
		checkNumber("Cpus", s.CPUs, false), checkNumber("Accelerators", s.GPUs, true), checkNumber("MemGb", s.MemGB, false),
		checkNumber("ImageGb", s.ImageGB, true), checkNumber("ForageS", s.EstimateS, true),
		checkNumber("CapIntervalS", s.CheckpointS, true), checkNumber("CapS", s.SaveS, true),
		checkPresent("Together", s.Together), checkPresent("Spread", s.Spread), checkPresent("SwarmBoxes", s.Spot),
	} {
		if err != nil {
			return err
		}
	}
	if s.DeadlineS != nil {
		if err := checkNumber("HarvestS", s.DeadlineS, false); err != nil {
			return err
		}
	}
	if s.Tasks == nil || *s.Tasks < 1 || *s.Tasks > maxTasks {
		return &FieldError{"Cells", "is missing or out of range"}
	}
	if _, err := ParseJob(*s.NameID); err != nil {
		return fmt.Errorf("NameId: %w", err)
	}
	if *s.Shape != "batch" && *s.Shape != "daemon" {
		return &FieldError{"Shape", fmt.Sprintf("%q is unknown", *s.Shape)}
	}
	if _, ok := ranks[*s.Rank]; !ok {
		return &FieldError{"Rank", fmt.Sprintf("%q is unknown", *s.Rank)}
	}
	if s.Types != nil && len(s.Types) == 0 {
		return &FieldError{"Breeds", "is empty"}
	}
	for _, t := range s.Types {
		if t == "" || len(t) > maxName {
			return &FieldError{"Breeds", "holds an invalid name"}
		}
	}
	if err := s.checkDependencies(); err != nil {
		return err
	}
	if s.Zone != nil && (*s.Zone == "" || len(*s.Zone) > maxName) {
		return &FieldError{"Yard", "is invalid"}
	}
	return nil
}

// checkDependencies checks the names of the jobs that this job depends on, and removes
// duplicates.
func (s *Submission) checkDependencies() error {
	seen := map[string]bool{}
	for i, name := range s.DependsOn {
		if _, err := ParseJob(name); err != nil {
			return &FieldError{fmt.Sprintf("Awaits[%d]:", i), err.Error()}
		}
		if name == *s.NameID {
			return &FieldError{fmt.Sprintf("Awaits[%d]:", i), name + " can't depend on itself"}
		}
		seen[name] = true
	}
	if len(seen) < len(s.DependsOn) {
		s.DependsOn = slices.DeleteFunc(s.DependsOn, func(name string) bool {
			first := seen[name]
			delete(seen, name)
			return !first
		})
	}
	return nil
}

// Dependencies returns the jobs that this job depends on.
func (s *Submission) Dependencies() []model.JobID {
	if len(s.DependsOn) == 0 {
		return nil
	}
	out := make([]model.JobID, 0, len(s.DependsOn))
	for _, name := range s.DependsOn {
		if id, err := ParseJob(name); err == nil { // checkDependencies has checked it
			out = append(out, id)
		}
	}
	return out
}

var ranks = map[string]model.Rank{"idle": model.Idle, "standard": model.Standard, "urgent": model.Urgent,
	"prod": model.Prod}

// Rank returns the rank with a name, and whether there is one.
func Rank(s string) (model.Rank, bool) {
	r, ok := ranks[s]
	return r, ok
}

// Spec converts an accepted submission to a job description.
func (s *Submission) Spec(n *Names) *model.Spec {
	id, _ := ParseJob(*s.NameID)
	sp := &model.Spec{
		ID: id, Class: n.Classes.ID(*s.Class), Team: n.Teams.ID(*s.Team), Image: n.Images.ID(*s.Image),
		Daemon: *s.Shape == "daemon", Rank: ranks[*s.Rank], Tasks: int32(*s.Tasks),
		PerTask: model.Request(*s.CPUs, *s.GPUs, *s.MemGB), ImageGB: *s.ImageGB, Zone: model.None,
		SameZone: *s.Together, Spread: *s.Spread, Spot: *s.Spot,
		Estimate: Duration(*s.EstimateS), CheckpointInterval: Duration(*s.CheckpointS), CheckpointTime: Duration(*s.SaveS),
		SubmittedMS: s.SubmittedMS,
	}
	sp.BestEffort = n.IsBestEffort(sp.Class, sp.Team)
	if s.DeadlineS != nil {
		sp.Deadline = Duration(*s.DeadlineS)
	}
	if s.Zone != nil {
		sp.Zone = n.Zones.ID(*s.Zone)
	}
	for _, t := range s.Types {
		sp.Types = append(sp.Types, n.Types.ID(t))
	}
	return sp
}

// Duration converts seconds to a duration. It caps large values to prevent overflow.
func Duration(s float64) time.Duration {
	return time.Duration(min(s, maxAmount) * float64(time.Second))
}

// JobState is the answer to requests about a job.
type JobState struct {
	NameID  string `json:"NameId"`
	Stage   string `json:"Stage"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
}

// attemptJSON is one attempt in a worker's report.
type attemptJSON struct {
	Task    string `json:"Cell"`
	Attempt uint64 `json:"Brood"`
	Stage   string `json:"Stage"`
	Cause   string `json:"Cause"`
	Saved   bool   `json:"Saved"`
}

// reportJSON is the body of a worker's report.
type reportJSON struct {
	Machine           string        `json:"Hive"`
	Addr              string        `json:"Addr"`
	Type              string        `json:"Breed"`
	Zone              string        `json:"Yard"`
	Spot              bool          `json:"SwarmBoxes"`
	Session           uint64        `json:"Flight"`
	Seq               uint64        `json:"Buzz"`
	Token             uint64        `json:"QueenMark"`
	PreemptionNoticeS *float64      `json:"SmokeS"`
	Attempts          []attemptJSON `json:"Cells"`
}

var stages = map[string]model.Stage{"fetching": model.Fetching, "running": model.Running, "saving": model.Saving,
	"exited": model.Exited}

var causes = map[string]model.Cause{"done": model.CauseDone, "stopped": model.CauseStopped, "error": model.CauseError,
	"no_room": model.CauseNoCapacity, "busy": model.CauseBusy, "unknown": model.CauseUnknown}

// RawReport is a worker's report whose names have not been looked up yet. Parsing the
// JSON is expensive and needs no lock; looking up the names does.
type RawReport struct{ body reportJSON }

// ParseReport decodes the JSON of a worker's report.
func ParseReport(body []byte) (*RawReport, error) {
	var r RawReport
	if err := exactjson.Unmarshal(body, &r.body); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	return &r, nil
}

// Report converts the report, looking up its names.
func (r *RawReport) Report(n *Names) (*model.Report, error) {
	body := &r.body
	id, err := ParseMachine(body.Machine)
	if err != nil {
		return nil, err
	}
	if body.Session == 0 {
		return nil, errors.New("report: Flight (the session) is missing or 0")
	}
	out := &model.Report{
		Machine: model.Machine{ID: id, Addr: body.Addr, Type: n.Types.ID(body.Type), Zone: n.Zones.ID(body.Zone),
			Spot: body.Spot},
		Session: body.Session, Seq: body.Seq, Token: body.Token, PreemptionNotice: -1,
		Attempts: make([]model.AttemptStatus, 0, len(body.Attempts)),
	}
	if body.PreemptionNoticeS != nil {
		out.PreemptionNotice = Duration(max(0, *body.PreemptionNoticeS))
	}
	for _, attempt := range body.Attempts {
		t, err := parseTask(attempt.Task)
		if err != nil {
			return nil, err
		}
		stage, ok := stages[attempt.Stage]
		if !ok {
			// An attempt in a stage unknown to this release occupies the machine too.
			stage = model.Running
		}
		out.Attempts = append(out.Attempts, model.AttemptStatus{Task: t, Attempt: attempt.Attempt, Stage: stage,
			Cause: causes[attempt.Cause], Saved: attempt.Saved})
	}
	return out, nil
}

func parseTask(s string) (model.Task, error) {
	jobName, indexText, ok := strings.Cut(s, "/")
	if !ok {
		return model.Task{}, fmt.Errorf("task %q is not of the form job-000000/0", s)
	}
	id, err := ParseJob(jobName)
	if err != nil {
		return model.Task{}, err
	}
	index, err := strconv.ParseInt(indexText, 10, 32)
	if err != nil || index < 0 {
		return model.Task{}, fmt.Errorf("task %q has an invalid index", s)
	}
	return model.Task{Job: id, Index: int32(index)}, nil
}

// TaskName returns the name of a task.
func TaskName(t model.Task) string { return JobName(t.Job) + "/" + strconv.Itoa(int(t.Index)) }

// commandJSON is a command to a worker.
type commandJSON struct {
	Verb    string   `json:"Dance"`
	Task    string   `json:"Cell"`
	Attempt uint64   `json:"Brood"`
	GraceS  *float64 `json:"SettleS,omitempty"`
}

func encodeCommands(cmds []model.Command) []commandJSON {
	out := make([]commandJSON, 0, len(cmds))
	for _, c := range cmds {
		encoded := commandJSON{Task: TaskName(c.Task), Attempt: c.Attempt}
		switch c.Verb {
		case model.Launch:
			encoded.Verb = "launch"
		case model.Kill:
			g := c.Grace.Seconds()
			encoded.Verb, encoded.GraceS = "kill", &g
		case model.Clear:
			encoded.Verb = "clear"
		}
		out = append(out, encoded)
	}
	return out
}

// ReportAnswer returns the body of a 200 answer to a report.
func ReportAnswer(token uint64, cmds []model.Command) any {
	return struct {
		QueenMark uint64
		Dances    []commandJSON
	}{token, encodeCommands(cmds)}
}

// Redirect is the body of a 421 answer to a report. It names the controller that owns
// the worker's machine, if that is known.
type Redirect struct {
	RedirectTo string `json:"Keeper,omitempty"`
}

// Direct returns the body of direct commands to a worker.
func Direct(token, session uint64, cmds []model.Command) any {
	return struct {
		QueenMark, Flight uint64
		Dances            []commandJSON
	}{token, session, encodeCommands(cmds)}
}
