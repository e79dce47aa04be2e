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
func toClass(class *devpb.Class) Class {
	return Class{
		Name: class.GetName(), Team: class.GetTeam(), Rank: class.GetRank(), Image: class.GetImage(),
		Tasks: int(class.GetTasks()), CPUs: class.GetCpus(), MemGB: class.GetMemGb(), ImageGB: class.GetImageGb(),
		RunS: class.GetRunS(), SaveEveryS: class.GetSaveEveryS(), SaveS: class.GetSaveS(),
		DeadlineS: class.GetDeadlineS(), PerMinute: class.GetPerMinute(), AtStart: int(class.GetAtStart()),
		Spot: class.GetSpot(), CancelledFraction: class.GetWithdrawn(),
	}
}

// Upper bounds of the fields of a class.
const (
	maxAmount = 1e6
	maxTasks  = 10_000
)

// checkClass checks the fields of the class with an index.
func checkClass(index int, class *devpb.Class) error {
	var errs []error
	check := func(ok bool, field string, v any, want string) {
		if !ok {
			errs = append(errs, fmt.Errorf("classes[%d].%s = %v: %s", index, field, v, want))
		}
	}
	check(len(class.GetName()) > 0 && len(class.GetName()) <= 200, "name", class.GetName(), "must be 1 to 200 bytes")
	knownTeam := slices.ContainsFunc(trialTeams, func(t config.Team) bool { return t.Name == class.GetTeam() })
	check(knownTeam, "team", class.GetTeam(), "must be batch or office")
	_, knownRank := wire.Rank(class.GetRank())
	check(knownRank, "rank", class.GetRank(), "must be idle, standard, urgent or prod")
	check(class.GetImage() != "", "image", class.GetImage(), "must be given")
	check(class.GetTasks() >= 1 && class.GetTasks() <= maxTasks, "tasks", class.GetTasks(), "must be from 1 to 10000")
	check(class.GetAtStart() >= 0 && class.GetAtStart() <= maxTasks, "at_start", class.GetAtStart(),
		"must be from 0 to 10000")
	check(class.GetWithdrawn() >= 0 && class.GetWithdrawn() <= 1, "withdrawn", class.GetWithdrawn(), "must be from 0 to 1")
	checkPositive := func(field string, v float64) {
		check(v > 0 && v <= maxAmount, field, v, "must be above 0 and at most 1000000")
	}
	checkPositive("cpus", class.GetCpus())
	checkPositive("mem_gb", class.GetMemGb())
	checkPositive("run_s", class.GetRunS())
	checkNotNegative := func(field string, v float64) {
		check(v >= 0 && v <= maxAmount, field, v, "must be from 0 to 1000000")
	}
	checkNotNegative("image_gb", class.GetImageGb())
	checkNotNegative("save_every_s", class.GetSaveEveryS())
	checkNotNegative("save_s", class.GetSaveS())
	checkNotNegative("deadline_s", class.GetDeadlineS())
	checkNotNegative("per_minute", class.GetPerMinute())
	return errors.Join(errs...)
}
