package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"honeylock/internal/node"
)

func memberCommand() *cobra.Command {
	var flags operatorFlags
	c := &cobra.Command{Use: "member", Short: "Show the controllers and the release of each"}
	flags.addTo(c)
	c.AddCommand(&cobra.Command{Use: "list", Short: "List the controllers", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return get(c, &flags, "members", showMembers) }})
	return c
}

func showMembers(w io.Writer, members *[]node.MemberReply) error {
	var rows [][]string
	for _, m := range *members {
		state, status := "-", "away"
		if m.StateAgeS >= 0 {
			state = fmt.Sprintf("%.1fs", m.StateAgeS)
		}
		switch {
		case m.Leading:
			status = "leads"
		case m.Connected:
			status = "here"
		}
		rows = append(rows, []string{m.Host, status, fmt.Sprint(m.Release), fmt.Sprint(m.Machines), state})
	}
	return table(w, []string{"CONTROLLER", "STANDS", "RELEASE", "MACHINES", "STATE SERVICE AGO"}, rows)
}
