package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"honeylock/internal/scale"
)

// runAsCommandEnv makes the test binary run as the honeylock command: a scale run starts its
// child processes from its own executable.
const runAsCommandEnv = "HONEYLOCK_TEST_AS_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(runAsCommandEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func runScale(t *testing.T, args ...string) (out string, err error) {
	t.Helper()
	t.Setenv(runAsCommandEnv, "1")
	t.Setenv("LOG_LEVEL", "error")
	var b bytes.Buffer
	c := command()
	c.SetOut(&b)
	c.SetErr(&b)
	c.SetArgs(append([]string{"scale", "run"}, args...))
	err = c.ExecuteContext(t.Context())
	return b.String(), err
}

// A tiny fleet must run end to end: two regions with three real controllers each, and a
// fault that ends the first region's leader. All figures must be measured and no rule broken.
func TestScaleRun(t *testing.T) {
	path := filepath.Join(t.TempDir(), "report.json")
	out, err := runScale(t, "--workers", "60", "--controllers", "6", "--regions", "2", "--zones", "4", "--teams", "5",
		"--tasks-per-worker", "4", "--tasks-per-job", "10", "--task-time", "5s", "--ramp", "8s", "--for", "10s",
		"--cancelled-share", "0.1", "--limit-changes-per-day", "50000", "--fault", "leader-ends", "--report", path)
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	r, err := scale.ReadReport(path)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Windows) != 2 || len(r.Verdicts) != 0 {
		t.Fatalf("%d windows, %v", len(r.Windows), r.Verdicts)
	}
	wanted := r.Options.StartsPerSecond() / 2
	for i, reg := range r.Windows[0].Regions {
		starts := float64(reg.Workers.Starts) / r.Windows[0].Seconds
		if starts < wanted/2 || starts > wanted*2 {
			t.Errorf("region %d: %.1f starts per second, want about %.1f", i, starts, wanted)
		}
		if reg.Workers.Up < 30 || reg.Workers.BytesOut == 0 || reg.World.Done == 0 || reg.Workers.UrgentWait.Count == 0 {
			t.Errorf("region %d: %+v", i, reg)
		}
		if requests, _ := reg.World.StateRequests(); requests == 0 || reg.World.StateKeys == 0 || reg.World.CloudCalls == 0 {
			t.Errorf("region %d: %+v", i, reg.World)
		}
	}
	for i := range 2 {
		var cancelled, changed int
		for _, w := range r.Windows {
			cancelled += w.Regions[i].World.Cancels.Answered
			changed += w.Regions[i].World.LimitChanges.Made
		}
		if cancelled == 0 || changed == 0 {
			t.Errorf("region %d: %d jobs cancelled, %d limits changed", i, cancelled, changed)
		}
	}
	roles := map[scale.Role]int{}
	restarts, leaders := 0, 0
	for _, p := range r.Windows[1].Processes {
		roles[p.Role]++
		restarts += p.Restarts
		if p.Leader {
			leaders++
		}
		if p.ResidentMB <= 0 || p.Sockets == 0 {
			t.Errorf("%+v", p)
		}
	}
	if roles[scale.RoleController] != 6 || roles[scale.RoleHollow] != 2 || roles[scale.RoleWorld] != 2 ||
		restarts != 1 || leaders != 2 {
		t.Errorf("%v, %d restarted, %d leaders", roles, restarts, leaders)
	}
}

// Invalid flags are refused with the flag and its range, before any process is started.
func TestScaleRunRejectsInvalidFlags(t *testing.T) {
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"--workers", "0"}, "--workers = 0: must be from 1 to 60000"},
		{[]string{"--workers", "60000"}, "more than half of this machine's memory"},
		{[]string{"--profile", "night"}, `--profile = "night": must be peak or ordinary`},
		{[]string{"--fault", "flood"}, "must be one of leader-ends"},
		{[]string{"--for", "1ms"}, "--for = 1ms: must be from 1s to 24h0m0s"},
		{[]string{"--settings", "/nowhere"}, "--settings: "},
	} {
		began := time.Now()
		out, err := runScale(t, c.args...)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v: %v\n%s", c.args, err, out)
		}
		if errors.As(err, new(failure)) || time.Since(began) > 5*time.Second {
			t.Errorf("%v: not reported as wrong usage, or something was started", c.args)
		}
	}
}

// A settings file overrides the flags that it sets and keeps the others.
func TestScaleSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "run.textproto")
	text := `size { workers: 70 } load { profile: "ordinary" } limits { state_rps: 99 } workers { lease_s: 20 cancel_s: 21 }
		faults: "rack-gone"`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	o := scale.DefaultOptions()
	if err := o.LoadSettings(path); err != nil {
		t.Fatal(err)
	}
	if o.Workers != 70 || o.Profile != scale.Ordinary || o.Limits.StateRPS != 99 || o.Controllers != 7 ||
		len(o.Faults) != 1 || o.Faults[0].Kind != scale.RackLoss {
		t.Errorf("%+v", o)
	}
	if err := o.Validate(); err == nil || !strings.Contains(err.Error(), "workers.cancel_s") {
		t.Errorf("%v", err)
	}
}
