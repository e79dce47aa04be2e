package dev

import (
	"context"
	"strings"
	"testing"
	"time"
)

// TestTrialClusterLosesNoJob runs the trial cluster of the README's first command for a few
// seconds: no job is lost, and no task runs on two machines at a time.
func TestTrialClusterLosesNoJob(t *testing.T) {
	cluster, err := Start(TrialOptions(3, 4, 20, 3))
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Close()
	users := NewUsers(cluster.Addrs(), DefaultWorkload(), 20, 3)
	arrivals, stopArrivals := context.WithTimeout(t.Context(), 4*time.Second)
	defer stopArrivals()
	deadline, stopDeadline := context.WithTimeout(t.Context(), 50*time.Second)
	defer stopDeadline()
	users.Run(arrivals, deadline)
	counts := users.Counts()
	if counts.Accepted < 8 || counts.Open+counts.Lost+counts.Refused > 0 ||
		counts.Done+counts.Cancelled != counts.Accepted || len(cluster.Tasks.Violations()) > 0 {
		t.Errorf("counts %+v, violations %v", counts, cluster.Tasks.Violations())
	}
}

// TestParseWorkloadNamesInvalidFields checks that the error names a field that is missing.
func TestParseWorkloadNamesInvalidFields(t *testing.T) {
	valid := `classes { name: "a" team: "batch" rank: "idle" image: "i" tasks: 3 cpus: 1 mem_gb: 1 run_s: 5 per_minute: 2 }`
	if classes, err := ParseWorkload([]byte(valid)); err != nil || len(classes) != 1 || classes[0].Tasks != 3 ||
		classes[0].RunS != 5 {
		t.Fatalf("classes %+v, error %v", classes, err)
	}
	for from, field := range map[string]string{`team: "batch"`: "classes[0].team", `rank: "idle"`: "classes[0].rank",
		`tasks: 3`: "classes[0].tasks",
		`cpus: 1`:  "classes[0].cpus", `run_s: 5`: "classes[0].run_s", `name: "a"`: "classes[0].name",
		`image: "i"`: "classes[0].image"} {
		if _, err := ParseWorkload([]byte(strings.Replace(valid, from, "", 1))); err == nil ||
			!strings.Contains(err.Error(), field) {
			t.Errorf("without %s: error %v", from, err)
		}
	}
}

// TestFreeAddrReturnsNoAddressTwice guards against a cluster that gets the port of a controller of
// another cluster while that is stopped, and then answers operators in its place.
func TestFreeAddrReturnsNoAddressTwice(t *testing.T) {
	returned := map[string]bool{}
	for range 2000 {
		addr, err := FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		if returned[addr] {
			t.Fatalf("%s was returned a second time, after %d others", addr, len(returned)-1)
		}
		returned[addr] = true
	}
}
