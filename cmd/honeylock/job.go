package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"honeylock/internal/client"
	"honeylock/internal/wire"
)

// addrFlag adds the flag for the controllers' addresses, with the environment variable env
// as the default.
func addrFlag(c *cobra.Command, addrs *[]string, env, what string) {
	var given []string
	if v := os.Getenv(env); v != "" {
		given = strings.Split(v, ",")
	}
	c.PersistentFlags().StringSliceVar(addrs, "addr", given,
		what+", HOST:PORT, several separated by commas (default: $"+env+")")
}

func jobCommand() *cobra.Command {
	var addrs []string
	var asJSON bool
	c := &cobra.Command{Use: "job", Short: "Submit, follow and withdraw jobs"}
	addrFlag(c, &addrs, "HONEYLOCK_ADDR", "addresses of controllers")
	c.PersistentFlags().BoolVar(&asJSON, "json", false, "print JSON")
	dial := func() (*client.Users, error) {
		return client.NewUsers(addrs, rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(os.Getpid()))))
	}
	show := func(c *cobra.Command, st *wire.JobState) error { return showJob(c.OutOrStdout(), st, asJSON) }
	jobAction := func(use, short string, f func(c *cobra.Command, u *client.Users, id string) (*wire.JobState,
		error)) *cobra.Command {
		return &cobra.Command{Use: use + " JOB", Short: short, Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				if _, err := wire.ParseJob(args[0]); err != nil {
					return err
				}
				u, err := dial()
				if err != nil {
					return err
				}
				st, err := f(c, u, args[0])
				if err != nil {
					return failed(fmt.Errorf("%s: %w", args[0], err))
				}
				return show(c, st)
			}}
	}
	interval := 2 * time.Second
	wait := jobAction("wait", "Wait until a job has ended; exit code 1 if it was cancelled",
		func(c *cobra.Command, u *client.Users, id string) (*wire.JobState, error) {
			last := ""
			st, err := u.Wait(c.Context(), id, interval, func(st *wire.JobState) {
				if now := progressOf(st); now != last && !client.Ended(st) {
					last = now
					fmt.Fprintln(c.ErrOrStderr(), id, now)
				}
			})
			if err == nil && st.Stage != "done" {
				err = fmt.Errorf("the job has ended as %s", st.Stage)
			}
			return st, err
		})
	wait.Flags().DurationVar(&interval, "every", interval, "time between two requests")
	c.AddCommand(submitCommand(dial, show), wait,
		jobAction("status", "Show a job's state", func(c *cobra.Command, u *client.Users, id string) (*wire.JobState, error) {
			return u.Status(c.Context(), id)
		}),
		jobAction("withdraw", "Cancel a job", func(c *cobra.Command, u *client.Users, id string) (*wire.JobState, error) {
			return u.Withdraw(c.Context(), id)
		}))
	return c
}

func submitCommand(dial func() (*client.Users, error), show func(*cobra.Command, *wire.JobState) error) *cobra.Command {
	return &cobra.Command{Use: "submit FILE|-", Short: "Submit a job described in JSON, as for POST /v1/jobs",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			body, err := readFile(c, args[0])
			if err != nil {
				return err
			}
			if _, err := wire.ParseSubmission(body); err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			u, err := dial()
			if err != nil {
				return err
			}
			st, duplicate, err := u.Submit(c.Context(), body)
			if err != nil {
				return failed(err)
			}
			if duplicate {
				fmt.Fprintln(c.ErrOrStderr(), "the job had been accepted before")
			}
			return show(c, st)
		}}
}

// readFile reads a file, or standard input if path is "-".
func readFile(c *cobra.Command, path string) ([]byte, error) {
	if path != "-" {
		return os.ReadFile(path)
	}
	b, err := io.ReadAll(c.InOrStdin())
	if err != nil {
		return nil, fmt.Errorf("standard input: %w", err)
	}
	return b, nil
}

func progressOf(st *wire.JobState) string {
	if st.Done == nil || st.Running == nil {
		return st.Stage
	}
	return fmt.Sprintf("%s, %d done, %d running", st.Stage, *st.Done, *st.Running)
}

func showJob(w io.Writer, st *wire.JobState, asJSON bool) error {
	if asJSON {
		return showJSON(w, st)
	}
	count := func(v *int) string {
		if v == nil {
			return "-"
		}
		return fmt.Sprint(*v)
	}
	return table(w, []string{"JOB", "STAGE", "DONE", "RUNNING"},
		[][]string{{st.NameID, st.Stage, count(st.Done), count(st.Running)}})
}

func showJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return failed(e.Encode(v))
}

// table prints aligned columns.
func table(w io.Writer, head []string, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, r := range append([][]string{head}, rows...) {
		fmt.Fprintln(t, strings.Join(r, "\t"))
	}
	return failed(t.Flush())
}
