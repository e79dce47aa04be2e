package planfile

import (
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"honeylock/internal/core/drain"
	"honeylock/internal/core/model"
	"honeylock/internal/wire"
)

func newNames() *wire.Names {
	return &wire.Names{Teams: wire.NewTable(), Types: wire.NewTable("k8", "k64"), Zones: wire.NewTable("east", "west"),
		Images: wire.NewTable(), Classes: wire.NewTable("payslip", "transfer")}
}

const fullPlan = `
name: "month-end"
machines { types: "k8" zones: "east" kind: SPOT older_than_s: 60 }
at_once: 3  at_once_per_zone: 2  order: OLDEST_FIRST  floor: 0.5
running: MOVE_SAVED
rules { class: "transfer" running: FINISH }
rules { rank: "idle" running: MOVE }
latest_end: "2026-12-31T18:00:00+04:00"
windows { classes: "transfer" not_past: "15:00" time_zone: "Asia/Muscat" }
windows { deadline: true }
rent_first: true  after: PATCH  patch_s: 90
`

func TestPlanToSpec(t *testing.T) {
	p, err := Parse([]byte(fullPlan))
	if err != nil {
		t.Fatal(err)
	}
	b, err := Encode(p)
	if err != nil {
		t.Fatal(err)
	}
	if p, err = Decode(b); err != nil {
		t.Fatal(err)
	}
	muscat, err := time.LoadLocation("Asia/Muscat")
	if err != nil {
		t.Fatal(err)
	}
	got := Spec(p, newNames())
	if !got.LatestEnd.Equal(time.Date(2026, 12, 31, 14, 0, 0, 0, time.UTC)) {
		t.Errorf("latest end %v", got.LatestEnd)
	}
	got.LatestEnd = time.Time{}
	want := &drain.Spec{Name: "month-end", MaxConcurrent: 3, MaxPerZone: 2, FreeCapacityFloor: 0.5,
		Default: drain.MoveSaved, RentFirst: true,
		WhenEmpty: drain.Patch,
		Rules:     []drain.Rule{{Class: 1, Rank: -1}, {Class: model.None, Rank: int(model.Idle), LeaveMode: drain.Move}},
		Windows: []drain.Window{{Classes: []model.Name{1}, Clock: 15 * time.Hour, Location: muscat, Name: "the window"},
			{Deadline: true, Location: time.UTC, Name: "its deadline"}}}
	if d := cmp.Diff(want, got, cmp.Comparer(func(a,
		b *time.Location) bool {
		return a.String() == b.String()
	})); d != "" {
		t.Error(d)
	}
}

func TestErrorsNameTheirFields(t *testing.T) {
	for text, fields := range map[string][]string{
		``: {"name: ", "machines: say which"},
		`name: "a" machines { all: true kind: SPOT }`: {"machines.all: "},
		`name: "a" machines { names: "x" names: "m-000001" names: "m-000001" }`: {"machines.names[0]: ",
			"machines.names[2]: "},
		`name: "a" machines { all: true } at_once: 0 floor: -1 patch_s: -1`: {"at_once: 0", "floor: -1",
			"patch_s: -1"},
		`name: "a" machines { all: true } latest_end: "soon"`: {`latest_end: "soon"`},
		`name: "a" machines { all: true } rules { } rules { rank: "high" }`: {"rules[0]: ",
			`rules[1].rank: "high"`},
		`name: "a" machines { all: true } windows { } windows { not_past: "25:00" }`: {"windows[0]: ",
			`windows[1].not_past: "25:00"`},
		`name: "a" machines { all: true } windows { not_past: "9:00" time_zone: "Mars" }`: {"windows[0].not_past: ",
			"windows[0].time_zone: "},
		`name: "a" machines { all: true } unheard_of: 1`: {"unheard_of"},
		`name: "a" machines { all: true } order: 9`:      {"order: 9"},
	} {
		_, err := Parse([]byte(text))
		if err == nil {
			t.Errorf("%s was accepted", text)
			continue
		}
		for _, f := range fields {
			if !strings.Contains(err.Error(), f) {
				t.Errorf("%s: error %q does not contain %q", text, err, f)
			}
		}
	}
}

func TestChooseMachines(t *testing.T) {
	candidate := func(id model.MachineID, typ, zone model.Name, spot bool, age time.Duration, free int64) Candidate {
		return Candidate{Machine: model.Machine{ID: id, Type: typ, Zone: zone, Spot: spot}, Age: age, Free: free}
	}
	candidates := []Candidate{candidate(1, 0, 0, false, 30*time.Second, 5), candidate(2, 1, 0, true, 90*time.Second, 9),
		candidate(3, 0, 1, false, 60*time.Second, 7)}
	for text, want := range map[string][]model.MachineID{
		`all: true`: {1, 2, 3}, `names: "m-000003" names: "m-000001"`: {3, 1}, `types: "k64"`: {2}, `zones: "west"`: {3},
		`kind: SPOT`: {2}, `kind: ORDINARY`: {1, 3}, `older_than_s: 60`: {2, 3}, `types: "k9"`: {},
	} {
		p, err := Parse([]byte(`name: "a" machines { ` + text + ` }`))
		if err != nil {
			t.Fatal(err)
		}
		if got := Choose(p, candidates, newNames()); !slices.Equal(got, want) {
			t.Errorf("%s: %v, want %v", text, got, want)
		}
	}
	for order, want := range map[string][]model.MachineID{"OLDEST_FIRST": {2, 3, 1}, "EMPTIEST_FIRST": {2, 3, 1},
		"BY_NAME": {1, 2, 3}} {
		p, err := Parse([]byte(`name: "a" machines { all: true } order: ` + order))
		if err != nil {
			t.Fatal(err)
		}
		if got := Choose(p, candidates, newNames()); !slices.Equal(got, want) {
			t.Errorf("%s: %v, want %v", order, got, want)
		}
	}
}

// The example plan in the deploy folder must be valid.
func TestDeployedPlanParses(t *testing.T) {
	b, err := os.ReadFile("../../deploy/drain.textproto")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Parse(b); err != nil {
		t.Error(err)
	}
}

// FuzzPlan checks that any text is either refused or accepted completely: the stored form
// decodes to the same plan, and the text form parses again.
func FuzzPlan(f *testing.F) {
	f.Add([]byte(fullPlan))
	f.Add([]byte(angleBracketPlan))
	f.Add([]byte(`name: "a" machines { all: true } windows { not_past: "00:00" }`))
	f.Fuzz(func(t *testing.T, text []byte) {
		p, err := Parse(text)
		if err != nil {
			return
		}
		b, err := Encode(p)
		if err != nil {
			t.Fatal(err)
		}
		back, err := Decode(b)
		if err != nil {
			t.Fatalf("the stored form is refused: %v", err)
		}
		if d := cmp.Diff(Spec(p, newNames()), Spec(back, newNames()),
			cmp.Comparer(func(a, b *time.Location) bool { return a.String() == b.String() })); d != "" {
			t.Fatal(d)
		}
		if _, err := Parse([]byte(Text(p))); err != nil && len(Text(p)) <= MaxSource {
			t.Fatalf("the text form is refused: %v\n%s", err, Text(p))
		}
		Choose(p, []Candidate{{}, {Machine: model.Machine{ID: 1}}}, newNames())
	})
}

const angleBracketPlan = `name: "a" machines < names: "m-000001" > running: MOVE`

func TestWaves(t *testing.T) {
	const head = "name: \"p\" machines { all: true } "
	p, err := Parse([]byte(head + "waves { machines: 2 soak_s: 60 } waves { share: 0.25 } gate { tasks: 5 }"))
	if err != nil {
		t.Fatal(err)
	}
	s := Spec(p, &wire.Names{Classes: wire.NewTable()})
	if len(s.Waves) != 2 || s.Waves[0].Soak != time.Minute || s.Waves[1].Share != 0.25 || s.Gate.MinTasks != 5 ||
		s.Gate.MaxSlowdown != 1.25 {
		t.Errorf("%+v, %+v", s.Waves, s.Gate)
	}
	for in, field := range map[string]string{
		"waves { soak_s: 1 }":                               "waves[0]: give either",
		"waves { machines: 0 }":                             "waves[0].machines",
		"waves { share: 0.5 } waves { share: 0.2 }":         "waves[1].share",
		"waves { share: 0.5 soak_s: -1 }":                   "waves[0].soak_s",
		"gate { tasks: 3 }":                                 "gate: there are no waves",
		"waves { machines: 1 } gate { tasks: 0 slower: 0 }": "gate.slower",
	} {
		if _, err := Parse([]byte(head + in)); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v does not name %s", in, err, field)
		}
	}
}
