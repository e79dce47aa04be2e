package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"honeylock/internal/config"
	"honeylock/internal/dev"
)

type devFlags struct {
	controllers, workers int
	length               time.Duration
	speed                float64
	workload             string
	seed                 uint64
}

func devCommand() *cobra.Command {
	var f devFlags
	c := &cobra.Command{Use: "dev",
		Short: "Run a complete cluster on loopback, with simulated services and a small workload",
		Args:  cobra.NoArgs,
		Long: `Runs controllers against simulated workers, state service and cloud, all in this
process and on loopback, and submits a small workload. It needs no files. At the end
it prints one line with counts of jobs. The exit code is 1 if a job was lost or two
attempts of a task ran at the same time.`,
		RunE: func(c *cobra.Command, _ []string) error { return f.run(c) }}
	c.Flags().IntVar(&f.controllers, "controllers", 3, "number of controllers, 1 to 9")
	c.Flags().IntVar(&f.workers, "workers", 6, "number of machines at the start, 1 to 200; as many again can be rented")
	c.Flags().DurationVar(&f.length, "for", 30*time.Second, "how long jobs are submitted; 0: until interrupted")
	c.Flags().Float64Var(&f.speed, "speed", 10,
		"factor by which tasks, boots and image fetches are faster than in production, 0.1 to 100")
	c.Flags().StringVar(&f.workload, "workload", "",
		"file with a workload in protobuf text format, or \"none\" (default: a small workload)")
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of all random numbers")
	return c
}

func (f *devFlags) check() error {
	var errs []error
	if f.controllers < 1 || f.controllers > 9 {
		errs = append(errs, fmt.Errorf("--controllers = %d: must be from 1 to 9", f.controllers))
	}
	if f.workers < 1 || f.workers > 200 {
		errs = append(errs, fmt.Errorf("--workers = %d: must be from 1 to 200", f.workers))
	}
	if !(f.speed >= 0.1 && f.speed <= 100) {
		errs = append(errs, fmt.Errorf("--speed = %v: must be from 0.1 to 100", f.speed))
	}
	if f.length < 0 {
		errs = append(errs, fmt.Errorf("--for = %v: must not be negative", f.length))
	}
	return errors.Join(errs...)
}

func (f *devFlags) classes() ([]dev.Class, error) {
	switch f.workload {
	case "":
		return dev.DefaultWorkload(), nil
	case "none":
		return nil, nil
	}
	b, err := os.ReadFile(f.workload)
	if err != nil {
		return nil, fmt.Errorf("--workload: %w", err)
	}
	classes, err := dev.ParseWorkload(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", f.workload, err)
	}
	return classes, nil
}

func (f *devFlags) run(c *cobra.Command) error {
	classes, err := f.classes()
	if err = errors.Join(f.check(), err); err != nil {
		return err
	}
	o := dev.TrialOptions(f.controllers, f.workers, f.speed, f.seed)
	o.Log = slog.New(slog.DiscardHandler)
	if level := os.Getenv("LOG_LEVEL"); level != "" {
		o.Log = logger(os.Stderr, level)
	}
	token := rand.Text() // of the operators' servers
	o.Settings = func(string) (*config.Settings, error) { return dev.OperatorSettings(token) }
	cluster, err := dev.Start(o)
	if err != nil {
		return failed(err)
	}
	defer cluster.Close()
	out := c.OutOrStdout()
	fmt.Fprintf(out, "users        %s\n", strings.Join(cluster.Addrs(), ","))
	fmt.Fprintf(out, "operators    %s\ntoken        %s\n", strings.Join(cluster.OpsAddrs(), ","), token)
	users := dev.NewUsers(cluster.Addrs(), classes, f.speed, f.seed)
	arrive, wait, stop := f.bounds(c.Context(), len(classes) > 0)
	defer stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		users.Run(arrive, wait)
		if len(classes) == 0 {
			<-arrive.Done()
		}
	}()
	f.follow(c, users, ended)
	counts := users.Counts()
	violations := cluster.Tasks.Violations()
	for _, s := range append(counts.Losses, violations...) {
		fmt.Fprintln(c.ErrOrStderr(), s)
	}
	fmt.Fprintf(out, "jobs: %d accepted, %d done, %d cancelled, %d open, %d refused, %d lost; tasks run twice: %d\n",
		counts.Accepted, counts.Done, counts.Cancelled, counts.Open, counts.Refused, counts.Lost, len(violations))
	if counts.Lost > 0 || len(violations) > 0 {
		return failed(errors.New("jobs were lost, or tasks ran twice"))
	}
	return nil
}

// bounds returns two contexts: arrive ends when no more jobs are submitted, wait ends a
// minute later, when open jobs are no longer waited for. An interrupt ends both.
func (f *devFlags) bounds(ctx context.Context, busy bool) (arrive, wait context.Context, stop func()) {
	if f.length == 0 {
		return ctx, ctx, func() {}
	}
	extra := time.Minute
	if !busy {
		extra = 0
	}
	arrive, stop1 := context.WithTimeout(ctx, f.length)
	wait, stop2 := context.WithTimeout(ctx, f.length+extra)
	return arrive, wait, func() { stop1(); stop2() }
}

// follow prints the progress until ended is closed. On a terminal it updates one line.
func (f *devFlags) follow(c *cobra.Command, u *dev.Users, ended <-chan struct{}) {
	start := time.Now()
	terminal := false
	if st, err := os.Stderr.Stat(); err == nil {
		terminal = st.Mode()&os.ModeCharDevice != 0
	}
	interval := 5 * time.Second
	if terminal {
		interval = 500 * time.Millisecond
	}
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ended:
			if terminal {
				fmt.Fprintln(c.ErrOrStderr())
			}
			return
		case <-t.C:
			n := u.Counts()
			line := fmt.Sprintf("%4.0f s  %d accepted, %d done, %d cancelled, %d open", time.Since(start).Seconds(),
				n.Accepted, n.Done, n.Cancelled, n.Open)
			if terminal {
				fmt.Fprintf(c.ErrOrStderr(), "\r%-70s", line)
			} else {
				fmt.Fprintln(c.ErrOrStderr(), line)
			}
		}
	}
}
