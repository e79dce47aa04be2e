package wire

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"honeylock/internal/core/model"
)

const valid = `{"NameId":"job-000412","Comb":"train","Colony":"vision","Shape":"batch","Rank":"urgent","Cells":16,
 "Cpus":8.0,"Accelerators":0,"MemGb":64.0,"Wax":"img-07","ImageGb":6.2,"Breeds":["g8"],"Yard":null,
 "Together":true,"Spread":false,"SwarmBoxes":true,"ForageS":0,"CapIntervalS":0,"CapS":0,"HarvestS":900.0,"Extra":[1]}`

func TestParseSubmission(t *testing.T) {
	if _, err := ParseSubmission([]byte(valid)); err != nil {
		t.Fatal(err)
	}
	for _, c := range [][2]string{
		{`"job-000412"`, `"job-412"`}, {`"job-000412"`, `"job-0000412"`}, {`"job-000412"`, `"task-000412"`},
		{`"job-000412"`, `null`}, {`"job-000412"`, `7`},
		{`"batch"`, `"group"`}, {`"urgent"`, `"high"`}, {`"Cells":16`, `"Cells":0`}, {`"Cells":16`, `"Cells":100001`},
		{`"Cells":16`, `"Cells":1.5`},
		{`"Cells":16`, `"Cells":"16"`}, {`"Cpus":8.0`, `"Cpus":0`}, {`"Cpus":8.0`, `"Cpus":-1`}, {`"Cpus":8.0,`, ``},
		{`"Accelerators":0`, `"Accelerators":-1`},
		{`"MemGb":64.0`, `"MemGb":0`}, {`"Wax":"img-07"`, `"Wax":""`}, {`["g8"]`, `[]`}, {`["g8"]`, `[3]`},
		{`"Yard":null`, `"Yard":""`},
		{`"Together":true`, `"Together":null`}, {`"Spread":false`, `"Spread":0`}, {`"ForageS":0`, `"ForageS":-3`},
		{`"HarvestS":900.0`, `"HarvestS":0`},
		{`"CapS":0`, `"CapS":1e300`},
	} {
		s := strings.Replace(valid, c[0], c[1], 1)
		if s == valid {
			t.Fatalf("%s is not in the valid submission", c[0])
		}
		if _, err := ParseSubmission([]byte(s)); err == nil {
			t.Errorf("%s in place of %s was accepted", c[1], c[0])
		}
	}
	for _, s := range []string{"", "null", "[]", "7", "{", `{"NameId":"job-000412"}`, valid + "x"} {
		if _, err := ParseSubmission([]byte(s)); err == nil {
			t.Errorf("%q was accepted", s)
		}
	}
}

// Guards against a submission whose unknown field replaced a known one, because JSON names were
// matched without regard to case: with "cells":1 a job of 16 tasks was called done after one.
func TestSubmissionFieldsMatchExactNames(t *testing.T) {
	want, err := ParseSubmission([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	for i := range reflect.TypeFor[Submission]().NumField() {
		name, _, _ := strings.Cut(reflect.TypeFor[Submission]().Field(i).Tag.Get("json"), ",")
		for _, other := range []string{strings.ToLower(name), strings.ToUpper(name)} {
			for _, value := range []string{"1", `"b"`, "true", `["b"]`, "{}", "null"} {
				s := strings.Replace(valid, `"Extra":[1]`, fmt.Sprintf("%q:%s", other, value), 1)
				got, err := ParseSubmission([]byte(s))
				if err != nil {
					t.Errorf("%q:%s is not ignored: %v", other, value, err)
				} else if diff := cmp.Diff(want, got); diff != "" {
					t.Errorf("%q:%s is not ignored: %s", other, value, diff)
				}
			}
		}
	}
}

// Guards against a field that only stored records have: users' submissions with it were refused.
func TestSubmissionIgnoresFieldsOfStoredRecords(t *testing.T) {
	for _, value := range []string{"7", "-1.5", `"b"`, "true", "[1]", "{}", "null"} {
		s := strings.Replace(valid, `"Extra":[1]`, `"SubmittedMs":`+value, 1)
		got, err := ParseSubmission([]byte(s))
		if err != nil {
			t.Errorf("SubmittedMs %s is not ignored: %v", value, err)
		} else if got.SubmittedMS != 0 {
			t.Errorf("SubmittedMs %s is not ignored: %d", value, got.SubmittedMS)
		}
	}
}

func TestJobNamesRoundTrip(t *testing.T) {
	for _, s := range []string{"job-000000", "job-000412", "job-999999", "job-1000000", "job-123456789012"} {
		id, err := ParseJob(s)
		if err != nil || JobName(id) != s {
			t.Errorf("%s -> %d (%v) -> %s", s, id, err, JobName(id))
		}
	}
}

func TestReport(t *testing.T) {
	raw, err := ParseReport([]byte(`{"Hive":"m-000231","Addr":"10.1.0.232:9000","Breed":"g8","Yard":"a","SwarmBoxes":true,
     "Flight":1,"Buzz":88,"QueenMark":41,"SmokeS":2.5,"News":1,
     "Cells":[{"Cell":"job-000412/3","Brood":2,"Stage":"running"},{"Cell":"job-000398/0","Brood":1,"Stage":"exited","Cause":"done"},
              {"Cell":"job-000398/1","Brood":18446744073709551615,"Stage":"exited","Cause":"stopped","Saved":true}]}`))
	if err != nil {
		t.Fatal(err)
	}
	n := &Names{Teams: NewTable(), Types: NewTable("x", "g8"), Zones: NewTable("a"), Images: NewTable(),
		Classes: NewTable()}
	got, err := raw.Report(n)
	if err != nil {
		t.Fatal(err)
	}
	want := &model.Report{Machine: model.Machine{ID: 231, Addr: "10.1.0.232:9000", Type: 1, Zone: 0, Spot: true},
		Session: 1, Seq: 88, Token: 41,
		PreemptionNotice: 2500e6, Attempts: []model.AttemptStatus{
			{Task: model.Task{Job: 412, Index: 3}, Attempt: 2, Stage: model.Running},
			{Task: model.Task{Job: 398}, Attempt: 1, Stage: model.Exited, Cause: model.CauseDone},
			{Task: model.Task{Job: 398, Index: 1}, Attempt: 1<<64 - 1, Stage: model.Exited, Cause: model.CauseStopped,
				Saved: true}}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

// An objective for one class must not make the jobs of teams with a guarantee best
// effort: with a single objective in the cluster, all other classes waited for minutes.
func TestBestEffortHasNoObjectiveAndNoGuarantee(t *testing.T) {
	n := &Names{ObjectiveClasses: map[model.Name]bool{1: true}, GuaranteedTeams: map[model.Name]bool{1: true}}
	for _, c := range []struct {
		class, team model.Name
		want        bool
	}{{1, 0, false}, {1, 1, false}, {0, 1, false}, {0, 0, true}} {
		if got := n.IsBestEffort(c.class, c.team); got != c.want {
			t.Errorf("class %d of team %d is best effort: %v", c.class, c.team, got)
		}
	}
	if (&Names{}).IsBestEffort(0, 0) {
		t.Error("without objectives a class is best effort")
	}
}
