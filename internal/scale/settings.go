package scale

import (
	"fmt"
	"os"
	"time"

	"google.golang.org/protobuf/encoding/prototext"

	"honeylock/internal/config"
	"honeylock/internal/scale/scalepb"
)

// LoadSettings applies a settings file in protobuf text format to the options. Options that the file does not set keep
// their values.
func (o *Options) LoadSettings(path string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("--settings: %w", err)
	}
	var p scalepb.Settings
	if err := prototext.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if err := o.applySettings(&p); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// setIfPresent sets target to the value unless it is nil.
func setIfPresent[T any](target *T, value *T) {
	if value != nil {
		*target = *value
	}
}

// setInt sets target to the value unless it is nil.
func setInt(target *int, value *int32) {
	if value != nil {
		*target = int(*value)
	}
}

// setSeconds sets target to the value in seconds unless it is nil.
func setSeconds(target *time.Duration, value *float64) {
	if value != nil {
		*target = config.Seconds(*value)
	}
}

// applySettings applies decoded settings to the options.
func (o *Options) applySettings(settings *scalepb.Settings) error {
	if s := settings.GetSize(); s != nil {
		setInt(&o.Workers, s.Workers)
		setInt(&o.Controllers, s.Controllers)
		setInt(&o.Regions, s.Regions)
		setInt(&o.Zones, s.Zones)
		setInt(&o.Teams, s.Teams)
	}
	if l := settings.GetLoad(); l != nil {
		if l.Profile != nil {
			o.Profile = Profile(*l.Profile)
		}
		setInt(&o.TasksPerWorker, l.TasksPerWorker)
		setSeconds(&o.TaskTime, l.TaskS)
		setInt(&o.TasksPerJob, l.TasksPerJob)
		setIfPresent(&o.ReplacedPerDay, l.ReplacedPerDay)
		setIfPresent(&o.ReplacedFaster, l.ReplacedFaster)
		setIfPresent(&o.CancelledShare, l.CancelledShare)
		setIfPresent(&o.LimitChangesPerDay, l.LimitChangesPerDay)
	}
	if l := settings.GetLimits(); l != nil {
		setIfPresent(&o.Limits.StateRPS, l.StateRps)
		setIfPresent(&o.Limits.StateWriteRPS, l.StateWriteRps)
		setIfPresent(&o.Limits.StateValueKB, l.StateValueKb)
		setInt(&o.Limits.StateTxnOps, l.StateTxnOps)
		if l.StateLatencyMs != nil {
			o.Limits.StateLatency = time.Duration(*l.StateLatencyMs * float64(time.Millisecond))
		}
		setIfPresent(&o.Limits.CloudRPS, l.CloudRps)
		setSeconds(&o.Limits.CloudListLag, l.CloudListLagS)
	}
	if w := settings.GetWorkers(); w != nil {
		setSeconds(&o.Timing.Report, w.ReportS)
		setSeconds(&o.Timing.Lease, w.LeaseS)
		setSeconds(&o.Timing.Cancel, w.CancelS)
	}
	for i, s := range settings.GetFaults() {
		f, err := ParseFault(s)
		if err != nil {
			return fmt.Errorf("faults[%d]: %w", i, err)
		}
		o.Faults = append(o.Faults, f)
	}
	return nil
}
