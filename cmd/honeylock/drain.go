package main

import (
	"fmt"
	"io"
	"maps"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"honeylock/internal/client"
	"honeylock/internal/core/audit"
	"honeylock/internal/node"
	"honeylock/internal/planfile"
)

// operatorFlags are the flags of an operator's command: how it reaches the controllers, and
// how it prints their answer.
type operatorFlags struct {
	addrs         []string
	tokenFile, ca string
	asJSON        bool
}

func (f *operatorFlags) addTo(c *cobra.Command) {
	addrFlag(c, &f.addrs, "HONEYLOCK_OPS_ADDR", "addresses of the controllers' operators' endpoints")
	c.PersistentFlags().StringVar(&f.tokenFile, "token-file", "",
		"file with your token (default: $HONEYLOCK_TOKEN)")
	c.PersistentFlags().StringVar(&f.ca, "ca", "",
		"file with the CA (PEM) of the controllers' certificates; if given, calls use TLS")
	c.PersistentFlags().BoolVar(&f.asJSON, "json", false, "print JSON")
}

func (f *operatorFlags) dial() (*client.Operators, error) {
	token := os.Getenv("HONEYLOCK_TOKEN")
	if f.tokenFile != "" {
		b, err := os.ReadFile(f.tokenFile)
		if err != nil {
			return nil, fmt.Errorf("--token-file: %w", err)
		}
		token = strings.TrimSpace(string(b))
	}
	return client.NewOperators(f.addrs, token, f.ca)
}

// get makes a call that changes nothing and prints the answer.
func get[T any](c *cobra.Command, flags *operatorFlags, path string, show func(io.Writer, *T) error) error {
	o, err := flags.dial()
	if err != nil {
		return err
	}
	var v T
	if err := o.Get(c.Context(), path, &v); err != nil {
		return failed(err)
	}
	if flags.asJSON {
		return showJSON(c.OutOrStdout(), v)
	}
	return show(c.OutOrStdout(), &v)
}

// change makes a change and prints its outcome.
func (f *operatorFlags) change(c *cobra.Command, path string, body []byte) error {
	o, err := f.dial()
	if err != nil {
		return err
	}
	var out node.Outcome
	if err := o.Change(c.Context(), path, body, &out,
		func(why string) { fmt.Fprintln(c.ErrOrStderr(), why) }); err != nil {
		return failed(err)
	}
	if f.asJSON {
		return showJSON(c.OutOrStdout(), out)
	}
	_, err = fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", out.Name, out.Outcome)
	return failed(err)
}

func drainCommand() *cobra.Command {
	var flags operatorFlags
	c := &cobra.Command{Use: "drain",
		Short: "Drain machines according to a plan, to patch them or return them to the cloud"}
	flags.addTo(c)
	planAction := func(use, short string) *cobra.Command {
		return &cobra.Command{Use: use + " NAME", Short: short, Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				return flags.change(c, "drains/"+url.PathEscape(args[0])+"/"+use, nil)
			}}
	}
	c.AddCommand(checkPlanCommand(), forecastCommand(&flags), forecastRestCommand(&flags), applyCommand(&flags),
		drainStatusCommand(&flags),
		&cobra.Command{Use: "list", Short: "List the plans", Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error {
				return get(c, &flags, "drains", showPlans)
			}},
		&cobra.Command{Use: "budgets", Short: "Show teams' disruption budgets, and the work that is interrupted now",
			Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
				return get(c, &flags, "budgets", showBudgets)
			}},
		planAction("pause", "Pause a plan: no more machines are drained and no tasks are moved"),
		planAction("resume", "Resume a paused plan"),
		planAction("cancel", "Cancel a plan: its machines get tasks again"),
		&cobra.Command{Use: "patched NAME MACHINE", Short: "Report that a machine of a plan is patched: it gets tasks again",
			Args: cobra.ExactArgs(2),
			RunE: func(c *cobra.Command, args []string) error {
				return flags.change(c, "drains/"+url.PathEscape(args[0])+"/machines/"+url.PathEscape(args[1])+"/patched", nil)
			}})
	return c
}

func checkPlanCommand() *cobra.Command {
	return planCommand("check", "Check a plan without a cluster, reporting all mistakes",
		func(c *cobra.Command, _ []byte) error {
			_, err := fmt.Fprintln(c.OutOrStdout(), "the plan is fine")
			return failed(err)
		})
}

// planCommand returns a command that reads and checks a plan in a file and passes it to do.
func planCommand(use, short string, do func(c *cobra.Command, plan []byte) error) *cobra.Command {
	return &cobra.Command{Use: use + " FILE|-", Short: short, Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			b, err := readPlan(c, args[0])
			if err != nil {
				return err
			}
			return do(c, b)
		}}
}

func readPlan(c *cobra.Command, path string) ([]byte, error) {
	b, err := readFile(c, path)
	if err != nil {
		return nil, err
	}
	if _, err := planfile.Parse(b); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return b, nil
}

func applyCommand(flags *operatorFlags) *cobra.Command {
	return planCommand("apply", "Start a plan", func(c *cobra.Command, plan []byte) error {
		return flags.change(c, "drains", plan)
	})
}

func drainStatusCommand(flags *operatorFlags) *cobra.Command {
	var watch bool
	c := &cobra.Command{Use: "status NAME", Short: "Show the state of a plan, machine by machine",
		Args: cobra.ExactArgs(1)}
	c.Flags().BoolVar(&watch, "watch", false, "print changes until the plan has ended; exit code 1 unless it is done")
	c.RunE = func(c *cobra.Command, args []string) error {
		path := "drains/" + url.PathEscape(args[0])
		if !watch {
			return get(c, flags, path, showPlan)
		}
		return flags.watch(c, path)
	}
	return c
}

// watch prints a plan's state whenever it changes, until the plan has ended.
func (f *operatorFlags) watch(c *cobra.Command, path string) error {
	o, err := f.dial()
	if err != nil {
		return err
	}
	last := ""
	for {
		var s node.PlanStatus
		if err := o.Get(c.Context(), path, &s); err != nil {
			return failed(err)
		}
		if line := planLine(&s); line != last {
			last = line
			fmt.Fprintf(c.OutOrStdout(), "%s  %s\n", time.Now().Format("15:04:05"), line)
		}
		switch {
		case s.Phase == "done":
			return nil
		case s.Phase != "active" && s.Phase != "paused":
			return failed(fmt.Errorf("plan %s is %s", s.Name, s.Phase))
		}
		select {
		case <-c.Context().Done():
			return failed(c.Context().Err())
		case <-time.After(time.Second):
		}
	}
}

func counts(m map[string]int) string {
	var out []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, fmt.Sprintf("%d %s", m[k], k))
	}
	return strings.Join(out, ", ")
}

func planLine(s *node.PlanStatus) string {
	line := s.Phase + ": " + counts(s.Counts)
	if s.SlowestMachine != "" {
		line += "; longest under way: " + s.SlowestMachine
	}
	for _, x := range []string{s.BlockedReason, s.Note} {
		if x != "" {
			line += "; " + x
		}
	}
	return line
}

func showPlans(w io.Writer, plans *[]node.PlanStatus) error {
	var rows [][]string
	for _, s := range *plans {
		rows = append(rows, []string{s.Name, s.Phase, s.By, counts(s.Counts), s.BlockedReason + s.Note})
	}
	return table(w, []string{"PLAN", "PHASE", "BY", "MACHINES", "WAITS FOR"}, rows)
}

func showBudgets(w io.Writer, budgets *[]node.BudgetStatus) error {
	formatLimit := func(limit float64) string {
		if limit <= 0 {
			return "-"
		}
		return fmt.Sprintf("%g", limit)
	}
	var rows [][]string
	for _, b := range *budgets {
		rows = append(rows, []string{b.Team, b.Class, fmt.Sprint(b.Running), fmt.Sprint(b.Interrupted),
			formatLimit(float64(b.MaxTasks)),
			fmt.Sprintf("%g", b.InterruptedCPUs), formatLimit(b.MaxCPUs), fmt.Sprintf("%.0f", b.LostCPUS),
			formatLimit(b.MaxLostCPUS),
			counts(b.InterruptedByCause)})
	}
	return table(w, []string{"TEAM", "CLASS", "RUNNING", "OUT", "MOST", "OUT CPUS", "MOST", "LOST CPU S", "MOST", "WHY"},
		rows)
}

func showPlan(w io.Writer, s *node.PlanStatus) error {
	if _, err := fmt.Fprintf(w, "%s  %s\n", s.Name, planLine(s)); err != nil {
		return failed(err)
	}
	var rows [][]string
	for _, t := range s.Steps {
		rows = append(rows, []string{t.Machine, t.State,
			time.Duration(t.ForS * float64(time.Second)).Round(time.Second).String(), t.Replacement, t.BlockedReason})
	}
	return table(w, []string{"MACHINE", "STATE", "FOR", "REPLACEMENT", "WAITS FOR"}, rows)
}

func auditCommand() *cobra.Command {
	var flags operatorFlags
	c := &cobra.Command{Use: "audit", Short: "Show operators' changes"}
	flags.addTo(c)
	c.AddCommand(&cobra.Command{Use: "list", Short: "List the latest changes, made or refused", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return get(c, &flags, "audit", showAudit) }})
	return c
}

func showAudit(w io.Writer, entries *[]audit.Entry) error {
	var rows [][]string
	for _, e := range *entries {
		rows = append(rows, []string{time.UnixMilli(e.AtMS).Format(time.RFC3339), e.Who, e.What, e.Name,
			fmt.Sprint(e.Status), e.Outcome})
	}
	return table(w, []string{"AT", "WHO", "WHAT", "NAME", "STATUS", "OUTCOME"}, rows)
}
