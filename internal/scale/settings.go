package scale

import (
	"fmt"
	"os"
	"time"

	"google.golang.org/protobuf/encoding/prototext"

	"honeylock/internal/config"
	"honeylock/internal/scale/scalepb"
)

// LoadSettings changes the options by a settings file. What the file leaves out stays.
func (o *Options) LoadSettings(path string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("--settings: %w", err)
	}
	var p scalepb.Settings
	if err := prototext.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if err := o.apply(&p); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

func set[T any](to *T, v *T) {
	if v != nil {
		*to = *v
	}
}

func setWhole(to *int, v *int32) {
	if v != nil {
		*to = int(*v)
	}
}

func setSeconds(to *time.Duration, v *float64) {
	if v != nil {
		*to = config.Seconds(*v)
	}
}

func (o *Options) apply(p *scalepb.Settings) error {
	if s := p.GetSize(); s != nil {
		setWhole(&o.Workers, s.Workers)
		setWhole(&o.Controllers, s.Controllers)
		setWhole(&o.Regions, s.Regions)
		setWhole(&o.Zones, s.Zones)
		setWhole(&o.Teams, s.Teams)
	}
	if l := p.GetLoad(); l != nil {
		if l.Profile != nil {
			o.Profile = Profile(*l.Profile)
		}
		setWhole(&o.TasksPerWorker, l.TasksPerWorker)
		setSeconds(&o.TaskTime, l.TaskS)
		setWhole(&o.TasksPerJob, l.TasksPerJob)
		set(&o.ReplacedPerDay, l.ReplacedPerDay)
		set(&o.ReplacedFaster, l.ReplacedFaster)
		set(&o.CancelledShare, l.CancelledShare)
		set(&o.LimitChangesPerDay, l.LimitChangesPerDay)
	}
	if l := p.GetLimits(); l != nil {
		set(&o.Limits.StateRPS, l.StateRps)
		set(&o.Limits.StateWriteRPS, l.StateWriteRps)
		set(&o.Limits.StateValueKB, l.StateValueKb)
		setWhole(&o.Limits.StateTxnOps, l.StateTxnOps)
		if l.StateLatencyMs != nil {
			o.Limits.StateLatency = time.Duration(*l.StateLatencyMs * float64(time.Millisecond))
		}
		set(&o.Limits.CloudRPS, l.CloudRps)
		setSeconds(&o.Limits.CloudListLag, l.CloudListLagS)
	}
	if w := p.GetWorkers(); w != nil {
		setSeconds(&o.Timing.Report, w.ReportS)
		setSeconds(&o.Timing.Lease, w.LeaseS)
		setSeconds(&o.Timing.Cancel, w.CancelS)
	}
	for i, s := range p.GetFaults() {
		f, err := ParseFault(s)
		if err != nil {
			return fmt.Errorf("faults[%d]: %w", i, err)
		}
		o.Faults = append(o.Faults, f)
	}
	return nil
}
