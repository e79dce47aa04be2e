// Command honeylock is a controller of the honeylock cluster scheduler.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/spf13/cobra"

	"honeylock/internal/config"
	"honeylock/internal/node"
	"honeylock/internal/server"
)

const version = "0.3.0"

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "honeylock:", err)
		os.Exit(2)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{Use: "honeylock", Short: "A cluster scheduler: batch jobs and services on rented machines",
		SilenceUsage: true, SilenceErrors: true}
	var cfgPath, setPath string
	files := func(c *cobra.Command) *cobra.Command {
		c.Flags().StringVar(&cfgPath, "config", "", "the platform's settings file (TOML)")
		c.Flags().StringVar(&setPath, "settings", "", "the operator's own settings (protobuf text format)")
		cobra.CheckErr(c.MarkFlagRequired("config"))
		return c
	}
	root.AddCommand(
		files(&cobra.Command{Use: "serve", Short: "Run a controller", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			cfg, set, err := load(cfgPath, setPath)
			if err != nil {
				return err
			}
			return serve(c.Context(), cfg, set)
		}}),
		files(&cobra.Command{Use: "check", Short: "Check the settings files, reporting all mistakes", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			if _, _, err := load(cfgPath, setPath); err != nil {
				return err
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), "settings are fine")
			return err
		}}),
		&cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(c.OutOrStdout(), "honeylock", version, runtime.Version())
			return err
		}},
	)
	root.SetContext(context.Background())
	return root
}

// load reads both files, so that all their mistakes are told at once.
func load(cfgPath, setPath string) (*config.Platform, *config.Settings, error) {
	cfg, err := config.Load(cfgPath)
	set, serr := config.LoadSettings(setPath)
	var msgs []string
	for _, e := range []error{err, serr} {
		if e != nil {
			msgs = append(msgs, e.Error())
		}
	}
	if len(msgs) > 0 {
		return nil, nil, fmt.Errorf("%s", strings.Join(msgs, "\n"))
	}
	return cfg, set, nil
}

func logger(w io.Writer, level string) *slog.Logger {
	l := slog.LevelInfo
	switch level {
	case "error":
		l = slog.LevelError
	case "debug":
		l = slog.LevelDebug
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: l}))
}

func serve(ctx context.Context, cfg *config.Platform, set *config.Settings) error {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(cfg.Cluster.Resources.MemMB * 0.7 * (1 << 20)))
	log := logger(os.Stderr, os.Getenv("LOG_LEVEL"))
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(os.Getpid())))
	n := node.New(cfg, set, log, rng)
	reg := prometheus.NewRegistry()
	n.Register(reg)
	srv := server.New(n, cfg.Cluster.Resources.FDLimit, log, reg)
	go srv.Serve(ctx, cfg.Bind, log)
	go n.ServePeers(ctx, cfg.PeerListen)
	log.Info("starting", "host", cfg.HostName, "zone", cfg.Zone, "version", version)
	n.Run(ctx)
	return nil
}
