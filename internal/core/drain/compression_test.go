package drain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// The record of a plan of 1,300 machines fits into 2 KiB in any combination of step states, and any
// leader can read it. A larger plan is refused with its size.
func TestLargePlanIsCompressed(t *testing.T) {
	e := New(Params{Term: 1, MaxMachines: 9000, MaxRecordBytes: 2048})
	spec := &Spec{Name: "patch"}
	for i := range model.MachineID(1300) {
		spec.Machines = append(spec.Machines, 5+i*2+i%3)
	}
	name := func(id model.MachineID) string { return fmt.Sprint(id) }
	source := []byte(strings.Repeat("machines { zones: \"east\" }\n", 8))
	if err := e.Check(spec, source, name); err != nil {
		t.Fatal(err)
	}
	p := e.Apply(0, time.Unix(9, 0), spec, source, "ops")
	for i := range p.Steps {
		p.Steps[i].State = State(i * 7 % (int(Abandoned) + 1))
	}
	if w := e.Writes(1); len(w) != 1 || len(w[0].Value) < 2048 {
		t.Fatalf("compressed before all controllers can read it: %d bytes", len(w[0].Value))
	}
	p.writingGeneration = 0
	e.EnableCompression()
	w := e.Writes(1)
	if len(w) != 1 || len(w[0].Value) > 2048 {
		t.Fatalf("a compressed record has %d bytes", len(w[0].Value))
	}
	next := New(Params{Term: 2, MaxMachines: 9000, MaxRecordBytes: 2048})
	next.Load(0, StoredPlan{Name: "patch", Value: w[0].Value, Version: 7},
		func([]byte) (*Spec, error) { return &Spec{Name: "patch"}, nil })
	got := next.plans["patch"]
	if got.unsupportedReason != "" || len(got.Steps) != len(p.Steps) {
		t.Fatalf("%q, %d steps", got.unsupportedReason, len(got.Steps))
	}
	for i := range got.Steps {
		if got.Steps[i] != p.Steps[i] {
			t.Fatalf("step %d: %+v, was %+v", i, got.Steps[i], p.Steps[i])
		}
	}
	spec.Name = "more"
	for i := range model.MachineID(4000) {
		spec.Machines = append(spec.Machines, 9000+i)
	}
	err := next.Check(spec, source, name)
	if err == nil || !strings.Contains(err.Error(), "bytes to store, at most 2048") {
		t.Errorf("%v", err)
	}
}
