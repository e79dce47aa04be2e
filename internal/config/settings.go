package config

import (
	"errors"
	"fmt"
	"os"
	"time"

	"google.golang.org/protobuf/encoding/prototext"

	"honeylock/internal/config/settingspb"
)

// Settings are the operator's settings, with defaults filled in.
type Settings struct {
	SampleSize    int
	PaybackLimit  time.Duration
	DemotionStep  float64
	DispatchAhead int
	IdleReturn    time.Duration
	RentHorizon   time.Duration
	Operator      *Operator // nil: no operators' server
	Budgets       []Budget  // disruption budgets
	BeginWithin   time.Duration
}

// DefaultSettings returns the values of settings that the operator leaves out.
func DefaultSettings() *Settings {
	return &Settings{SampleSize: 2, PaybackLimit: time.Minute, DemotionStep: 2, DispatchAhead: 16,
		IdleReturn: 240 * time.Second, RentHorizon: 30 * time.Second, BeginWithin: 2 * time.Minute}
}

// LoadSettings reads the operator's settings file. An empty path means the defaults.
func LoadSettings(path string) (*Settings, error) {
	if path == "" {
		return DefaultSettings(), nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's settings: %w", err)
	}
	s, err := ParseSettings(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// ParseSettings parses settings in protobuf text format. Unknown fields and values out of
// range are errors.
func ParseSettings(b []byte) (*Settings, error) {
	var p settingspb.Settings
	if err := prototext.Unmarshal(b, &p); err != nil {
		return nil, err
	}
	s := DefaultSettings()
	var errs []error
	number := func(field string, v *float64, lo, hi float64, set func(float64)) {
		if v == nil {
			return
		}
		if !(*v >= lo && *v <= hi) {
			errs = append(errs, fmt.Errorf("%s = %v: must be from %v to %v", field, *v, lo, hi))
			return
		}
		set(*v)
	}
	optionalFloat := func(v *int32) *float64 {
		if v == nil {
			return nil
		}
		f := float64(*v)
		return &f
	}
	if c := p.Scheduling; c != nil {
		number("scheduling.sample_size", optionalFloat(c.SampleSize), 1, 64, func(v float64) { s.SampleSize = int(v) })
		number("scheduling.payback_limit_s", c.PaybackLimitS, 0, 3600, func(v float64) { s.PaybackLimit = Seconds(v) })
		number("scheduling.demotion_step", c.DemotionStep, 1, 10, func(v float64) { s.DemotionStep = v })
		number("scheduling.begin_within_s", c.BeginWithinS, 10, 230, func(v float64) { s.BeginWithin = Seconds(v) })
		number("scheduling.deal_ahead", optionalFloat(c.DealAhead), 0, 1000, func(v float64) { s.DispatchAhead = int(v) })
	}
	if c := p.Fleet; c != nil {
		number("fleet.idle_return_s", c.IdleReturnS, 1, 86400, func(v float64) { s.IdleReturn = Seconds(v) })
		number("fleet.rent_horizon_s", c.RentHorizonS, 1, 86400, func(v float64) { s.RentHorizon = Seconds(v) })
	}
	if p.Operator != nil {
		var err error
		s.Operator, err = parseOperator(p.Operator)
		errs = append(errs, err)
	}
	var err error
	s.Budgets, err = parseBudgets(p.GetDisruption())
	errs = append(errs, err)
	return s, errors.Join(errs...)
}
