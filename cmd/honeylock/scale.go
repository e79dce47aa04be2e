package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"honeylock/internal/exactjson"
	"honeylock/internal/scale"
)

func scaleCommand() *cobra.Command {
	c := &cobra.Command{Use: "scale", Short: "Measure the cost of a fleet of a given size on this machine"}
	c.AddCommand(scaleRunCommand(), scaleSlopesCommand(),
		scaleChildCommand("hollow", "Run the simulated workers of a region", scale.ServeHollow),
		scaleChildCommand("world", "Run the users, state service and cloud of a region", scale.ServeWorld))
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
	f := scaleFlags{options: scale.DefaultOptions()}
	c := &cobra.Command{Use: "run", Args: cobra.NoArgs,
		Short: "Run a fleet of real controllers and simulated workers, and measure it",
		Long: `Starts the controllers of each region as they are deployed, one process each, and
simulates everything else on loopback: workers that speak the whole protocol and run
nothing (one process per region), and users, state service and cloud (another process).

It starts all workers, submits arrays of tasks until the wanted number of tasks runs,
waits for --ramp, measures for --for, then measures another 30 s after each --fault, and
ends. Figures of processes come from the kernel. The simulated workers and users count
starts, waits, bytes, tasks that run on two machines, and teams over their limits.

The run touches nothing else on this machine. All processes that it started end with it,
also when it is interrupted. A fleet that needs more than half of the machine's memory is
refused. Exit codes: 0 done, 1 failed or a rule was broken, 2 wrong usage.

  honeylock scale run --workers 1000 --controllers 3 --report small.json
  honeylock scale run --workers 9400 --controllers 20 --regions 3 --zones 7 \
      --fault leader-ends --fault rack-gone --report fleet.json`,
		RunE: func(c *cobra.Command, _ []string) error { return f.run(c) }}
	o := &f.options
	flags := c.Flags()
	flags.IntVar(&o.Workers, "workers", o.Workers, "number of workers in all regions, 1 to 60000")
	flags.IntVar(&o.Controllers, "controllers", o.Controllers,
		"number of controllers in all regions, one process each, 1 to 100")
	flags.IntVar(&o.Regions, "regions", o.Regions, "number of regions, each with its own state service and cloud, 1 to 9")
	flags.IntVar(&o.Zones, "zones", o.Zones, "number of zones in all regions, 1 to 50")
	flags.IntVar(&o.Teams, "teams", o.Teams,
		"number of teams, each with a guarantee and a limit in every region, 1 to 1000")
	flags.StringVar(&f.profile, "profile", string(o.Profile),
		"load profile: peak (tasks run for 45 s) or ordinary (135 s)")
	flags.IntVar(&o.TasksPerWorker, "tasks-per-worker", o.TasksPerWorker,
		"mean number of running tasks per worker, 1 to 64")
	flags.DurationVar(&o.TaskTime, "task-time", 0, "mean run time of a task, 1s to 1h; 0: as in the profile")
	flags.IntVar(&o.TasksPerJob, "tasks-per-job", o.TasksPerJob, "mean number of tasks per job, 1 to 20000")
	flags.Float64Var(&o.ReplacedPerDay, "replaced-per-day", o.ReplacedPerDay,
		"number of workers that stop per day and are replaced by rented ones")
	flags.Float64Var(&o.ReplacedFaster, "replaced-faster", o.ReplacedFaster, "factor on --replaced-per-day, 0 to 1000")
	flags.Float64Var(&o.CancelledShare, "cancelled-share", o.CancelledShare,
		"fraction of the jobs that users cancel, 0 to 1")
	flags.Float64Var(&o.LimitChangesPerDay, "limit-changes-per-day", o.LimitChangesPerDay,
		"number of changes of teams' limits per day, each applied in every region; 0: none")
	flags.DurationVar(&o.Ramp, "ramp", o.Ramp, "time under load before the measurement, 1s to 1h")
	flags.DurationVar(&o.Duration, "for", o.Duration, "duration of the measurement, 1s to 24h")
	flags.StringArrayVar(&f.faults, "fault", nil,
		"fault in the first region after the measurement; may be repeated: leader-ends, controller-restarts, rack-gone "+
			"(40 workers), zone-lost (with its controllers, permanently), all-controllers-end")
	flags.Uint64Var(&o.Seed, "seed", o.Seed, "seed of all random numbers")
	flags.StringVar(&o.Report, "report", "", "write the raw report (JSON) to this file")
	flags.StringVar(&f.settings, "settings", "",
		"file with all of these settings and the limits of state service and cloud, in protobuf text format "+
			"(internal/scale/scalepb)")
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
		return failed(fmt.Errorf("find this program's path: %w", err))
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
		return failed(errors.New("the run broke a rule or failed; see above"))
	}
	return nil
}

// builtFrom returns the commit that this program was built from, with a "+" if the sources
// had changes.
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

// printWindows prints the main figures of each window of measurement.
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
		Short: "Fit the cost of each role to the reports of runs",
		Long: `Fits the figures of each role to the steady windows of the reports of "scale run", by
least squares. It prints the base cost of each role, the cost of one more of each variable,
and the residuals. With --predict it prints the fit's prediction for another run beside the
figures measured in that run.`,
		RunE: func(c *cobra.Command, args []string) error {
			var reports []*scale.Report
			for _, path := range args {
				r, err := scale.ReadReport(path)
				if err != nil {
					return err
				}
				reports = append(reports, r)
			}
			slopes, err := scale.FitSlopes(reports)
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
	c.Flags().StringVar(&predict, "predict", "", "report of a run to predict")
	return c
}

// printSlopes prints the fitted slopes as a Markdown table.
func printSlopes(out io.Writer, slopes []scale.Slope) {
	fmt.Fprintln(out, "| role | figure | base | for one more of | | residual: rms, worst | R² | rows |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, s := range slopes {
		for i, by := range s.Variables {
			if i == 0 {
				fmt.Fprintf(out, "| %s | %s | %.4g | %s | %.4g | %.3g, %.3g | %.3f | %d |\n", s.Role, s.Unit, s.Intercept, by,
					s.Coefficients[i],
					s.RMS, s.MaxResidual, s.R2, s.Rows)
				continue
			}
			fmt.Fprintf(out, "| | | | %s | %.4g | | | |\n", by, s.Coefficients[i])
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

// scaleChildCommand returns the hidden command of a child process, which only `scale run`
// starts.
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
			if err := exactjson.Unmarshal(b, &spec); err != nil {
				return fmt.Errorf("--spec: %s: %w", path, err)
			}
			debug.SetGCPercent(childGCPercent)
			return failed(serve(c.Context(), spec, os.Stdin, os.Stdout))
		}}
	c.Flags().StringVar(&path, "spec", "", "description of the region, written by `scale run`")
	cobra.CheckErr(c.MarkFlagRequired("spec"))
	return c
}

// childGCPercent is the GC setting of the child processes, the same as that of controllers.
const childGCPercent = 300
