package config

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/encoding/prototext"

	"honeylock/internal/config/settingspb"
)

// TeamChange is an operator's change of a team's limits and guarantees; nil: unchanged.
type TeamChange struct {
	LimitCPUs, LimitGPUs, GuaranteeCPUs, GuaranteeGPUs *float64
	Until                                              time.Time // zero: until it is unset
}

const maxCPUs = 1e9

// ParseTeamChange parses a change in protobuf text format and reports every mistake with
// its field.
func ParseTeamChange(b []byte) (*TeamChange, error) {
	var p settingspb.TeamChange
	if err := prototext.Unmarshal(b, &p); err != nil {
		return nil, err
	}
	out := &TeamChange{LimitCPUs: p.LimitCpus, LimitGPUs: p.LimitGpus, GuaranteeCPUs: p.GuaranteeCpus,
		GuaranteeGPUs: p.GuaranteeGpus}
	var errs []error
	for _, f := range []struct {
		name string
		v    *float64
		zero bool
	}{{"limit_cpus", p.LimitCpus, false}, {"limit_gpus", p.LimitGpus, false}, {"guarantee_cpus", p.GuaranteeCpus, true},
		{"guarantee_gpus", p.GuaranteeGpus, true}} {
		if f.v == nil || *f.v > 0 && *f.v <= maxCPUs || f.zero && *f.v == 0 {
			continue
		}
		errs = append(errs, fmt.Errorf("%s = %v: must be above 0 (a guarantee may be 0), up to %v", f.name, *f.v, maxCPUs))
	}
	if p.LimitCpus == nil && p.LimitGpus == nil && p.GuaranteeCpus == nil && p.GuaranteeGpus == nil {
		errs = append(errs, errors.New("limit_cpus, limit_gpus, guarantee_cpus, guarantee_gpus: give at least one"))
	}
	if u := p.GetUntil(); u != "" {
		var err error
		if out.Until, err = time.Parse(time.RFC3339, u); err != nil {
			errs = append(errs, fmt.Errorf("until: %q must be a time such as 2026-12-31T18:00:00+04:00", u))
		}
	}
	return out, errors.Join(errs...)
}
