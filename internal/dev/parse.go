package dev

import (
	"errors"
	"fmt"
	"slices"

	"google.golang.org/protobuf/encoding/prototext"

	"honeylock/internal/config"
	"honeylock/internal/dev/devpb"
	"honeylock/internal/wire"
)

// ParseWorkload parses a workload in protobuf text format. The error names every invalid field.
func ParseWorkload(text []byte) ([]Class, error) {
	var workload devpb.Workload
	if err := prototext.Unmarshal(text, &workload); err != nil {
		return nil, err
	}
	var out []Class
	var errs []error
	for i, c := range workload.GetClasses() {
		errs = append(errs, checkClass(i, c))
		out = append(out, toClass(c))
	}
	return out, errors.Join(errs...)
}

// toClass converts a class from its protobuf message.
func toClass(c *devpb.Class) Class {
	return Class{
		Name: c.GetName(), Team: c.GetTeam(), Rank: c.GetRank(), Image: c.GetImage(), Tasks: int(c.GetTasks()),
		CPUs: c.GetCpus(), MemGB: c.GetMemGb(), ImageGB: c.GetImageGb(), RunS: c.GetRunS(), SaveEveryS: c.GetSaveEveryS(),
		SaveS: c.GetSaveS(), DeadlineS: c.GetDeadlineS(), PerMinute: c.GetPerMinute(), AtStart: int(c.GetAtStart()),
		Spot: c.GetSpot(), CancelledFraction: c.GetWithdrawn(),
	}
}

// Upper bounds of the fields of a class.
const (
	maxAmount = 1e6
	maxTasks  = 10_000
)

// checkClass checks the fields of the class with an index.
func checkClass(i int, c *devpb.Class) error {
	var errs []error
	check := func(ok bool, field string, v any, want string) {
		if !ok {
			errs = append(errs, fmt.Errorf("classes[%d].%s = %v: %s", i, field, v, want))
		}
	}
	check(len(c.GetName()) > 0 && len(c.GetName()) <= 200, "name", c.GetName(), "must be 1 to 200 bytes")
	knownTeam := slices.ContainsFunc(trialTeams, func(t config.Team) bool { return t.Name == c.GetTeam() })
	check(knownTeam, "team", c.GetTeam(), "must be batch or office")
	_, knownRank := wire.Rank(c.GetRank())
	check(knownRank, "rank", c.GetRank(), "must be idle, standard, urgent or prod")
	check(c.GetImage() != "", "image", c.GetImage(), "must be given")
	check(c.GetTasks() >= 1 && c.GetTasks() <= maxTasks, "tasks", c.GetTasks(), "must be from 1 to 10000")
	check(c.GetAtStart() >= 0 && c.GetAtStart() <= maxTasks, "at_start", c.GetAtStart(), "must be from 0 to 10000")
	check(c.GetWithdrawn() >= 0 && c.GetWithdrawn() <= 1, "withdrawn", c.GetWithdrawn(), "must be from 0 to 1")
	checkPositive := func(field string, v float64) {
		check(v > 0 && v <= maxAmount, field, v, "must be above 0 and at most 1000000")
	}
	checkPositive("cpus", c.GetCpus())
	checkPositive("mem_gb", c.GetMemGb())
	checkPositive("run_s", c.GetRunS())
	checkNotNegative := func(field string, v float64) {
		check(v >= 0 && v <= maxAmount, field, v, "must be from 0 to 1000000")
	}
	checkNotNegative("image_gb", c.GetImageGb())
	checkNotNegative("save_every_s", c.GetSaveEveryS())
	checkNotNegative("save_s", c.GetSaveS())
	checkNotNegative("deadline_s", c.GetDeadlineS())
	checkNotNegative("per_minute", c.GetPerMinute())
	return errors.Join(errs...)
}
