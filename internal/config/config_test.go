package config

import (
	"crypto/sha256"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const validSettings = `
host_name = "hive-0"
zone = "a"
bind = "10.0.0.1:8080"
peer_listen = "10.0.0.1:8081"
unknown = 3
[[siblings]]
host_name = "hive-1"
zone = "b"
address = "10.0.0.2:8081"
[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[cluster]
zones = ["a", "b"]
[[cluster.teams]]
name = "t"
cpus = 4.0
cpus_max = 8.0
[cluster.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 40.0
[cluster.state]
rps = 150.0
write_rps = 60.0
value_kb = 16.0
txn_ops = 16
[cluster.cloud]
rps = 5.0
list_lag_s = 10.0
[cluster.resources]
mem_mb = 98.0
fd_limit = 800
`

func load(t *testing.T, s string) (*Platform, error) {
	t.Helper()
	p := filepath.Join(t.TempDir(), "s.toml")
	if err := os.WriteFile(p, []byte(s), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(p)
}

// Guards against unknown settings that replace known ones because their names differ only in case.
func TestSettingsMatchExactNames(t *testing.T) {
	want, err := load(t, validSettings)
	if err != nil {
		t.Fatal(err)
	}
	for before, added := range map[string]string{
		"[[siblings]]":         `HOST_NAME = "other"` + "\nZone = 3\nCLUSTER = [1]",
		"address = ":           `Host_Name = "other"`,
		"state = ":             "STATE = 7",
		"[[cluster.teams]]":    "skew_MS = 5.0\nTeams = 1\n[cluster.State]\nrps = 1.0\n[Cluster.workers]\nlease_s = 1.0",
		"cpus_max = 8.0":       "CPUS = 1.0\nCpus_max = 1.0",
		"[cluster.state]":      "Lease_S = 1979-05-27T07:32:00Z\nLEASE_s = nan",
		"[cluster.resources]":  `cloud = { RPS = 1.0 }` + "\nRPS = inf",
		"[cluster.cloud]\nrps": "[[Siblings]]\nhost_name = \"hive-9\"",
	} {
		s := strings.Replace(validSettings, before, added+"\n"+before, 1)
		if s == validSettings {
			t.Fatalf("%s is not in the settings", before)
		}
		got, err := load(t, s)
		if err != nil {
			t.Errorf("%s is not ignored: %v", added, err)
		} else if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s is not ignored: %s", added, diff)
		}
	}
}

func TestMistakesHaveTheirPosition(t *testing.T) {
	for before, after := range map[string]string{
		"lease_s = 10.0": `lease_s = "ten"`, "rps = 5.0": "rps = = 5.0", "zone = \"a\"": "zone = 3",
		"fd_limit = 800": `fd_limit = "many"`,
	} {
		s := strings.Replace(validSettings, before, after, 1)
		row := 1 + strings.Count(s[:strings.Index(s, after)], "\n")
		if _, err := load(t, s); err == nil || !strings.Contains(err.Error(), fmt.Sprintf("s.toml:%d:", row)) {
			t.Errorf("%s: error %v, want the position of line %d", after, err, row)
		}
	}
}

func TestLoad(t *testing.T) {
	p, err := load(t, validSettings)
	if err != nil {
		t.Fatal(err)
	}
	if p.HostName != "hive-0" || len(p.Siblings) != 1 || p.Cluster.Teams[0].CPUsMax != 8 {
		t.Fatalf("%+v", p)
	}
}

func TestReportsAllErrors(t *testing.T) {
	s := strings.NewReplacer(`"10.0.0.1:8080"`, `"here"`, "rps = 150.0", "rps = 0", "cancel_s = 40.0",
		"cancel_s = 9.0").Replace(validSettings)
	_, err := load(t, s)
	if err == nil {
		t.Fatal("invalid settings were accepted")
	}
	for _, want := range []string{`bind = "here"`, "cluster.state.rps = 0", "cluster.workers.cancel_s = 9"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not in %q", want, err)
		}
	}
}

// Settings with too little memory or too few files are refused at startup. The error names
// the field, the value and the minimum. Limits that are missing or not numbers are refused too.
func TestRefusesInsufficientResources(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"mem_mb = 98.0", "mem_mb = 12.0", "cluster.resources.mem_mb = 12: must be 24 or more"},
		{"mem_mb = 98.0", "mem_mb = 0.0", "cluster.resources.mem_mb = 0: must be 24 or more"},
		{"mem_mb = 98.0", "mem_mb = -98.0", "cluster.resources.mem_mb = -98: must be 24 or more"},
		{"mem_mb = 98.0", "mem_mb = nan", "cluster.resources.mem_mb = NaN: must be 24 or more"},
		{"mem_mb = 98.0", "", "cluster.resources.mem_mb = 0: must be 24 or more"},
		{"mem_mb = 98.0", `mem_mb = "much"`, "mem_mb"},
		{"fd_limit = 800", "fd_limit = 40", "cluster.resources.fd_limit = 40: must be 64 or more"},
		{"fd_limit = 800", "fd_limit = -1", "cluster.resources.fd_limit = -1: must be 64 or more"},
		{"fd_limit = 800", "", "cluster.resources.fd_limit = 0: must be 64 or more"},
		{"fd_limit = 800", `fd_limit = "many"`, "fd_limit"},
	} {
		if _, err := load(t, strings.Replace(validSettings, c.old, c.new, 1)); err == nil ||
			!strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: error %v does not contain %q", c.new, err, c.want)
		}
	}
	if _, err := load(t, strings.Replace(validSettings, "mem_mb = 98.0", "mem_mb = 24.0", 1)); err != nil {
		t.Error(err)
	}
}

// The time in which a leader may miss a cancellation plus a worker's lease must be shorter
// than cancel_s.
func TestStalenessBoundKeepsCancellationRule(t *testing.T) {
	for _, c := range [][2]float64{{10, 40}, {42, 67}, {5, 8}, {30, 300}, {10, 12}} {
		var cl Cluster
		cl.Workers.LeaseS, cl.Workers.CancelS = c[0], c[1]
		if sum := cl.StalenessBound() + cl.MaxLease(); sum >= Seconds(c[1]) {
			t.Errorf("lease %v: %v of %v s", c[0], sum, c[1])
		}
		if cl.LeaderTTL() < 100*time.Millisecond {
			t.Errorf("lease %v: the leader's TTL is below the state service's minimum", c[0])
		}
	}
}

func TestOperatorSettings(t *testing.T) {
	s, err := ParseSettings([]byte("scheduling { sample_size: 3 payback_limit_s: 30 } fleet { idle_return_s: 90 }"))
	if err != nil || s.SampleSize != 3 || s.PaybackLimit != 30*time.Second || s.IdleReturn != 90*time.Second ||
		s.DispatchAhead != DefaultSettings().DispatchAhead {
		t.Fatalf("%+v %v", s, err)
	}
	for _, bad := range []string{"scheduling { sample: 3 }", "scheduling { sample_size: 0 }",
		"fleet { idle_return_s: -1 }", "scheduling {"} {
		if _, err := ParseSettings([]byte(bad)); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

func TestOperatorEndpoint(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "token")
	if err := os.WriteFile(file, []byte("a long enough token\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "good"), []byte("a-long-enough-token\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	hash := strings.Repeat("ab", 32)
	s, err := ParseSettings([]byte(`operator { listen: "127.0.0.1:1" access { name: "a" token_sha256: "` + hash +
		`" role: "read" }
		access { name: "b" token_file: "` + dir + `/good" role: "operate" } }`))
	if err != nil || len(s.Operator.Access) != 2 || s.Operator.Access[0].Operate || !s.Operator.Access[1].Operate ||
		s.Operator.Access[1].Hash != sha256.Sum256([]byte("a-long-enough-token")) {
		t.Fatalf("%+v %v", s, err)
	}
	for text, want := range map[string]string{
		`operator { listen: "x" }`:           "operator.listen",
		`operator { listen: "127.0.0.1:1" }`: "operator.access",
		`operator { listen: "127.0.0.1:1" tls_cert_file: "c" access { name: "A" role: "boss" token_sha256: "12" } }`: "operator.access[0].role",
		`operator { listen: "127.0.0.1:1" access { name: "a" role: "read" token_file: "` + file +
			`" } }`: "operator.access[0].token_file: must hold one token",
		`operator { listen: "127.0.0.1:1" access { name: "a" role: "read" token_file: "/nowhere" } }`: "operator.access[0].token_file",
		`operator { listen: "127.0.0.1:1" access { name: "a" role: "read" } }`:                        "give either",
		`operator { listen: "127.0.0.1:1" access { name: "a" role: "read" token_sha256: "` + hash + `" }
			access { name: "a" role: "read" token_sha256: "` + hash + `" } }`: "the same token is given twice",
	} {
		if _, err := ParseSettings([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v does not contain %q", text, err, want)
		}
	}
}

func TestDisruptionBudgets(t *testing.T) {
	s, err := ParseSettings([]byte(`disruption {
		budgets { team: "a" share: 0.1 moves: 2 }
		budgets { team: "a" class: "c" tasks: 3 lost_cpu_s: 600 }
	}`))
	if err != nil || len(s.Budgets) != 2 || s.Budgets[1].Window != 10*time.Minute || s.Budgets[0].Share != 0.1 {
		t.Fatalf("%+v, %v", s, err)
	}
	var p Platform
	p.Cluster.Teams = []Team{{Name: "b"}}
	const want = `budgets[0].team: the platform's file has no team "a"`
	if err := s.CheckPlatform(&p); err == nil || !strings.Contains(err.Error(), want) {
		t.Errorf("%v", err)
	}
	for in, field := range map[string]string{
		`budgets { tasks: 3 }`:                                          "budgets[0].team",
		`budgets { team: "a" }`:                                         "budgets[0]: sets no limit",
		`budgets { team: "a" tasks: 0 }`:                                "budgets[0].tasks",
		`budgets { team: "a" share: 1.5 }`:                              "budgets[0].share",
		`budgets { team: "a" tasks: 1 window_s: 5 }`:                    "budgets[0].window_s",
		`budgets { team: "a" tasks: 1 } budgets { team: "a" moves: 1 }`: "budgets[1].team",
	} {
		if _, err := ParseSettings([]byte("disruption { " + in + " }")); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v does not name %s", in, err, field)
		}
	}
}
