package main

import (
	"fmt"
	"io"
	"net/url"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/prototext"

	"honeylock/internal/config"
	"honeylock/internal/config/settingspb"
	"honeylock/internal/node"
)

func teamCommand() *cobra.Command {
	var flags operatorFlags
	c := &cobra.Command{Use: "team", Short: "Show and change teams' limits and guarantees"}
	flags.addTo(c)
	c.AddCommand(
		&cobra.Command{Use: "list", Short: "List the teams", Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error { return get(c, &flags, "teams", showTeams) }},
		&cobra.Command{Use: "show NAME", Short: "Show the state of a team", Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				return get(c, &flags, "teams/"+url.PathEscape(args[0]), showTeam)
			}},
		setTeamCommand(&flags),
		&cobra.Command{Use: "unset NAME", Short: "Undo all changes of a team: the platform's settings apply again",
			Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				return flags.change(c, "teams/"+url.PathEscape(args[0])+"/unset", nil)
			}})
	return c
}

func setTeamCommand(flags *operatorFlags) *cobra.Command {
	var limit, limitGPUs, guarantee, guaranteeGPUs float64
	var until string
	c := &cobra.Command{Use: "set NAME", Args: cobra.ExactArgs(1),
		Short: "Change a team's limit or guarantee at once, until it is unset or until a given time"}
	flagSet := c.Flags()
	flagSet.Float64Var(&limit, "limit-cpus", 0, "maximum CPUs; not above the platform's limit")
	flagSet.Float64Var(&limitGPUs, "limit-gpus", 0, "maximum accelerators")
	flagSet.Float64Var(&guarantee, "guarantee-cpus", 0, "guaranteed CPUs; not above the limit")
	flagSet.Float64Var(&guaranteeGPUs, "guarantee-gpus", 0, "guaranteed accelerators")
	flagSet.StringVar(&until, "until", "", "when the change ends: a time (2026-12-31T18:00:00+04:00) or a duration (90m)")
	c.RunE = func(c *cobra.Command, args []string) error {
		p := &settingspb.TeamChange{Until: until}
		if span, err := time.ParseDuration(until); err == nil {
			p.Until = time.Now().Add(span).Format(time.RFC3339)
		}
		for name, to := range map[string]**float64{"limit-cpus": &p.LimitCpus, "limit-gpus": &p.LimitGpus,
			"guarantee-cpus": &p.GuaranteeCpus, "guarantee-gpus": &p.GuaranteeGpus} {
			if flagSet.Changed(name) {
				v, err := flagSet.GetFloat64(name)
				if err != nil {
					return err
				}
				*to = &v
			}
		}
		text, err := prototext.Marshal(p)
		if err != nil {
			return failed(err)
		}
		if _, err := config.ParseTeamChange(text); err != nil {
			return err
		}
		return flags.change(c, "teams/"+url.PathEscape(args[0]), text)
	}
	return c
}

func showTeams(w io.Writer, teams *[]node.TeamReply) error {
	var rows [][]string
	for _, t := range *teams {
		limit := "-"
		if t.Limit > 0 {
			limit = fmt.Sprintf("%g", t.Limit)
		}
		rows = append(rows, []string{t.Team, limit, fmt.Sprintf("%g", t.Guarantee), fmt.Sprintf("%g", t.Used),
			fmt.Sprintf("%g", t.Borrowed), fmt.Sprintf("%g", t.Unaccounted), fmt.Sprint(t.TasksWaiting),
			fmt.Sprint(t.JobsOnHold),
			t.BlockedBy, t.Changed})
	}
	return table(w, []string{"TEAM", "LIMIT", "GUARANTEED", "USED", "BORROWED", "UNSEEN", "WAITING", "AWAITING", "HELD BY",
		"CHANGED"}, rows)
}

func showTeam(w io.Writer, t *node.TeamReply) error { return showTeams(w, &[]node.TeamReply{*t}) }
