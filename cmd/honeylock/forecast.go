package main

import (
	"fmt"
	"io"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	"honeylock/internal/node"
)

func forecastCommand(flags *operatorFlags) *cobra.Command {
	return planCommand("plan", "Forecast which jobs a plan would delay, by how long and why; changes nothing",
		func(c *cobra.Command, plan []byte) error { return flags.forecast(c, "forecasts", plan) })
}

func forecastRestCommand(flags *operatorFlags) *cobra.Command {
	return &cobra.Command{Use: "forecast NAME", Short: "Forecast the rest of a plan in progress",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return flags.forecast(c, "drains/"+url.PathEscape(args[0])+"/forecast", nil)
		}}
}

func (f *operatorFlags) forecast(c *cobra.Command, path string, body []byte) error {
	o, err := f.dial()
	if err != nil {
		return err
	}
	var r node.ForecastReply
	reported := 0
	err = o.Poll(c.Context(), path, body, &r, func() bool {
		if tenths := int(r.Done * 10); tenths > reported {
			reported = tenths
			fmt.Fprintf(c.ErrOrStderr(), "forecasting: %d%%\n", 10*tenths)
		}
		return r.Done >= 1
	})
	if err != nil {
		return failed(err)
	}
	if f.asJSON {
		return showJSON(c.OutOrStdout(), r)
	}
	return showForecast(c.OutOrStdout(), &r)
}

// formatRange formats a range of seconds (low, middle, high): the middle, and both ends if
// they differ.
func formatRange(s [3]float64) string {
	formatSeconds := func(v float64) string { return time.Duration(v * float64(time.Second)).Round(time.Second).String() }
	if formatSeconds(s[0]) == formatSeconds(s[2]) {
		return formatSeconds(s[1])
	}
	return fmt.Sprintf("%s (%s to %s)", formatSeconds(s[1]), formatSeconds(s[0]), formatSeconds(s[2]))
}

func showForecast(w io.Writer, r *node.ForecastReply) error {
	fmt.Fprintf(w, "%s  takes %s; %d of %d open jobs would be delayed\n", r.Name, formatRange(r.TookS), len(r.Delayed),
		r.Jobs)
	if r.Unfinished != "" {
		fmt.Fprintf(w, "the plan does not end within the simulated time: %s\n", r.Unfinished)
	}
	if r.Unreported > 0 {
		fmt.Fprintf(w, "%d machines are left out: their controllers did not report the tasks on them\n", r.Unreported)
	}
	for _, g := range r.Guarantees {
		fmt.Fprintf(w, "work of %s within its guarantee would wait %.0f s instead of %.0f s\n", g.Team, g.WithS, g.WithoutS)
	}
	if len(r.Delayed) == 0 {
		return nil
	}
	var rows [][]string
	for _, delayed := range r.Delayed {
		rows = append(rows, []string{delayed.Job, delayed.Class, formatRange(delayed.DelayS), formatRange(delayed.EndS),
			delayed.Reason, delayed.MissedLimit})
	}
	return table(w, []string{"JOB", "CLASS", "LATER BY", "ENDS IN", "WHY", "PUSHED PAST"}, rows)
}
