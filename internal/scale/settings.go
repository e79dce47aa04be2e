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
	content, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("--settings: %w", err)
	}
	var settings scalepb.Settings
	if err := prototext.Unmarshal(content, &settings); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if err := o.applySettings(&settings); err != nil {
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
	if size := settings.GetSize(); size != nil {
		setInt(&o.Workers, size.Workers)
		setInt(&o.Controllers, size.Controllers)
		setInt(&o.Regions, size.Regions)
		setInt(&o.Zones, size.Zones)
		setInt(&o.Teams, size.Teams)
	}
	if load := settings.GetLoad(); load != nil {
		if load.Profile != nil {
			o.Profile = Profile(*load.Profile)
		}
		setInt(&o.TasksPerWorker, load.TasksPerWorker)
		setSeconds(&o.TaskTime, load.TaskS)
		setInt(&o.TasksPerJob, load.TasksPerJob)
		setIfPresent(&o.ReplacedPerDay, load.ReplacedPerDay)
		setIfPresent(&o.ReplacedFaster, load.ReplacedFaster)
		setIfPresent(&o.CancelledShare, load.CancelledShare)
		setIfPresent(&o.LimitChangesPerDay, load.LimitChangesPerDay)
	}
	if load := settings.GetLimits(); load != nil {
		setIfPresent(&o.Limits.StateRPS, load.StateRps)
		setIfPresent(&o.Limits.StateWriteRPS, load.StateWriteRps)
		setIfPresent(&o.Limits.StateValueKB, load.StateValueKb)
		setInt(&o.Limits.StateTxnOps, load.StateTxnOps)
		if load.StateLatencyMs != nil {
			o.Limits.StateLatency = time.Duration(*load.StateLatencyMs * float64(time.Millisecond))
		}
		setIfPresent(&o.Limits.CloudRPS, load.CloudRps)
		setSeconds(&o.Limits.CloudListLag, load.CloudListLagS)
	}
	if workers := settings.GetWorkers(); workers != nil {
		setSeconds(&o.Timing.Report, workers.ReportS)
		setSeconds(&o.Timing.Lease, workers.LeaseS)
		setSeconds(&o.Timing.Cancel, workers.CancelS)
	}
	for i, size := range settings.GetFaults() {
		f, err := ParseFault(size)
		if err != nil {
			return fmt.Errorf("faults[%d]: %w", i, err)
		}
		o.Faults = append(o.Faults, f)
	}
	return nil
}
