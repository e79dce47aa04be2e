package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"honeylock/internal/scale"
)

func scaleCommand() *cobra.Command {
	c := &cobra.Command{Use: "scale", Short: "Measure what a fleet of a given size costs, on this machine"}
	c.AddCommand(scaleRunCommand(), scaleSlopesCommand(),
		scaleChildCommand("hollow", "Hollow workers of a region", scale.ServeHollow),
		scaleChildCommand("world", "Users, state service and cloud of a region", scale.ServeWorld))
	return c
}

// scaleFlags are the flags of `scale run`.
type scaleFlags struct {
	options  scale.Options
	settings string
	profile  string
	faults   []string
}

func scaleRunCommand() *cobra.Command {
	f := scaleFlags{options: scale.Defaults()}
	c := &cobra.Command{Use: "run", Args: cobra.NoArgs,
		Short: "Play a fleet with real controllers and hollow workers, and measure it",
		Long: `Starts the controllers of each region as they are deployed, one process each, and
stand-ins of all else on loopback: hollow workers that keep to the whole protocol and
run nothing (one process a region), users, state service and cloud (another).

It brings all workers up, has users submit arrays until as many tasks run as are wanted,
waits for --ramp, measures for --for, then once more for 30 s after each --fault, and
ends. Figures of processes come from the kernel; starts, waits, bytes, tasks on two
machines and teams over their limits are counted by the workers and users themselves.

Nothing else on this machine is touched, and all that was started ends with the run, also
when it is interrupted. A size that will not fit into half of the machine's memory is
refused. Exit codes: 0 done, 1 failed or a rule was broken, 2 wrong usage.

  honeylock scale run --workers 1000 --controllers 3 --report small.json
  honeylock scale run --workers 9400 --controllers 20 --regions 3 --zones 7 \
      --fault leader-ends --fault rack-gone --report fleet.json`,
		RunE: func(c *cobra.Command, _ []string) error { return f.run(c) }}
	o := &f.options
	flags := c.Flags()
	flags.IntVar(&o.Workers, "workers", o.Workers, "workers of all regions, 1 to 60000")
	flags.IntVar(&o.Controllers, "controllers", o.Controllers, "controllers of all regions, one process each, 1 to 100")
	flags.IntVar(&o.Regions, "regions", o.Regions, "regions, each with a state service and a cloud of its own, 1 to 9")
	flags.IntVar(&o.Zones, "zones", o.Zones, "zones of all regions, 1 to 50")
	flags.IntVar(&o.Teams, "teams", o.Teams, "teams, each with a guarantee and a limit in every region, 1 to 1000")
	flags.StringVar(&f.profile, "profile", string(o.Profile), "peak: tasks run for 45 s; ordinary: for 135 s")
	flags.IntVar(&o.TasksPerWorker, "tasks-per-worker", o.TasksPerWorker, "tasks that run on a worker on average, 1 to 64")
	flags.DurationVar(&o.TaskTime, "task-time", 0, "mean run time of a task, 1s to 1h; 0: the profile's")
	flags.IntVar(&o.TasksPerJob, "tasks-per-job", o.TasksPerJob, "mean number of tasks of an array, 1 to 20000")
	flags.Float64Var(&o.ReplacedPerDay, "replaced-per-day", o.ReplacedPerDay,
		"workers that stop a day; the cloud has others")
	flags.Float64Var(&o.ReplacedFaster, "replaced-faster", o.ReplacedFaster, "they stop so many times as often, 0 to 1000")
	flags.Float64Var(&o.CancelledShare, "cancelled-share", o.CancelledShare,
		"part of the arrays that users cancel, 0 to 1")
	flags.Float64Var(&o.LimitChangesPerDay, "limit-changes-per-day", o.LimitChangesPerDay,
		"changes of teams' limits a day, all of which each region applies; 0: none")
	flags.DurationVar(&o.Ramp, "ramp", o.Ramp, "load before anything is measured, 1s to 1h")
	flags.DurationVar(&o.Duration, "for", o.Duration, "measured for so long, 1s to 24h")
	flags.StringArrayVar(&f.faults, "fault", nil,
		"a fault that strikes the first region afterwards, again for more: leader-ends, controller-restarts, rack-gone "+
			"(40 workers), zone-lost (with its controllers, for good), all-controllers-end")
	flags.Uint64Var(&o.Seed, "seed", o.Seed, "of all that is random")
	flags.StringVar(&o.Report, "report", "", "file for the raw report (JSON)")
	flags.StringVar(&f.settings, "settings", "",
		"all of this and the limits of state service and cloud, in protobuf text format (internal/scale/scalepb)")
	return c
}

func (f *scaleFlags) run(c *cobra.Command) error {
	o := &f.options
	o.Profile = scale.Profile(f.profile)
	for _, s := range f.faults {
		fault, err := scale.ParseFault(s)
		if err != nil {
			return fmt.Errorf("--fault: %w", err)
		}
		o.Faults = append(o.Faults, fault)
	}
	if f.settings != "" {
		if err := o.LoadSettings(f.settings); err != nil {
			return err
		}
	}
	binary, err := os.Executable()
	if err != nil {
		return failed(fmt.Errorf("this program's path: %w", err))
	}
	commit := builtFrom()
	fmt.Fprintf(c.OutOrStdout(), "seed %d, commit %s: %.0f starts a second wanted\n", o.Seed, commit, o.StartsPerSecond())
	report, err := scale.Run(c.Context(), *o, scale.Environment{Binary: binary, Version: version, Commit: commit,
		Log: logger(os.Stderr, os.Getenv("LOG_LEVEL")), Progress: c.ErrOrStderr()})
	if err != nil {
		var usage *scale.UsageError
		if errors.As(err, &usage) {
			return err
		}
		return failed(err)
	}
	printWindows(c.OutOrStdout(), report)
	if len(report.Verdicts) > 0 {
		for _, v := range report.Verdicts {
			fmt.Fprintln(c.ErrOrStderr(), v)
		}
		return failed(errors.New("something went wrong; see above"))
	}
	return nil
}

// builtFrom is the commit of the sources that this program was built from.
func builtFrom() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	commit, changed := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			commit = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = "+"
		}
	}
	return commit + changed
}

// printWindows tells the main figures.
func printWindows(out io.Writer, r *scale.Report) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer w.Flush()
	fmt.Fprintln(w, "window\tregion\tworkers\trunning\tstarts/s\turgent p50\tp99 ms\t"+
		"busiest controller\tMB\tstate requests/s\trefused\t")
	for _, win := range r.Windows {
		for i, reg := range win.Regions {
			cores, mb := 0.0, 0.0
			for _, p := range win.Processes {
				if p.Role == scale.RoleController && p.Region == i {
					cores, mb = max(cores, p.Cores), max(mb, p.ResidentMB)
				}
			}
			requests, refused := reg.World.StateRequests()
			workers := reg.Workers
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.0f\t%d\t%d\t%.2f cores\t%.0f\t%.1f\t%d\t\n", win.Name, i, workers.Up,
				workers.Running, float64(workers.Starts)/win.Seconds, workers.UrgentWait.P50, workers.UrgentWait.P99,
				cores, mb, float64(requests)/win.Seconds, refused)
		}
	}
}

func scaleSlopesCommand() *cobra.Command {
	var predict string
	c := &cobra.Command{Use: "slopes REPORT...", Args: cobra.MinimumNArgs(1),
		Short: "Fit what each role costs to the reports of runs",
		Long: `Fits the figures of each role to the steady windows of the reports of "scale run", by
least squares, and prints what each costs with nothing, for one more of each variable,
and how far the measured figures are from that. With --predict it tells what the slopes
say of a run that they do not rest on, beside what was measured there.`,
		RunE: func(c *cobra.Command, args []string) error {
			var reports []*scale.Report
			for _, path := range args {
				r, err := scale.ReadReport(path)
				if err != nil {
					return err
				}
				reports = append(reports, r)
			}
			slopes, err := scale.Slopes(reports)
			if err != nil {
				return failed(err)
			}
			printSlopes(c.OutOrStdout(), slopes)
			if predict == "" {
				return nil
			}
			run, err := scale.ReadReport(predict)
			if err != nil {
				return fmt.Errorf("--predict: %w", err)
			}
			predictions, err := scale.Predict(slopes, run)
			if err != nil {
				return failed(err)
			}
			printPredictions(c.OutOrStdout(), predictions)
			return nil
		}}
	c.Flags().StringVar(&predict, "predict", "", "a report that is predicted")
	return c
}

// printSlopes prints a table in Markdown.
func printSlopes(out io.Writer, slopes []scale.Slope) {
	fmt.Fprintln(out, "| role | figure | base | for one more of | | residual: rms, worst | R² | rows |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, s := range slopes {
		for i, by := range s.By {
			if i == 0 {
				fmt.Fprintf(out, "| %s | %s | %.4g | %s | %.4g | %.3g, %.3g | %.3f | %d |\n", s.Role, s.Unit, s.Base, by, s.Each[i],
					s.RMS, s.Worst, s.R2, s.Rows)
				continue
			}
			fmt.Fprintf(out, "| | | | %s | %.4g | | | |\n", by, s.Each[i])
		}
	}
}

func printPredictions(out io.Writer, predictions []scale.Prediction) {
	fmt.Fprintln(out, "\n| role | figure | predicted | measured | error |\n| --- | --- | --- | --- | --- |")
	for _, p := range predictions {
		fmt.Fprintf(out, "| %s | %s | %.4g | %.4g | %+.0f%% |\n", p.Role, p.Unit, p.Predicted, p.Measured,
			100*(p.Predicted-p.Measured)/p.Measured)
	}
}

// scaleChildCommand is a process of a run; only `scale run` starts it.
func scaleChildCommand(verb, short string,
	serve func(context.Context, scale.RegionSpec, io.Reader, io.Writer) error) *cobra.Command {
	var path string
	c := &cobra.Command{Use: verb, Short: short, Hidden: true, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			b, err := os.ReadFile(path)
			if err != nil {
				return fmt.Errorf("--spec: %w", err)
			}
			var spec scale.RegionSpec
			if err := json.Unmarshal(b, &spec); err != nil {
				return fmt.Errorf("--spec: %s: %w", path, err)
			}
			debug.SetGCPercent(childGCPercent)
			return failed(serve(c.Context(), spec, os.Stdin, os.Stdout))
		}}
	c.Flags().StringVar(&path, "spec", "", "the region, as `scale run` describes it")
	cobra.CheckErr(c.MarkFlagRequired("spec"))
	return c
}

// childGCPercent has the stand-ins' collector run as the controllers' does.
const childGCPercent = 300
