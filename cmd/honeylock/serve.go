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
	"honeylock/internal/ops"
	"honeylock/internal/server"
)

// files are the paths of the two settings files.
type files struct{ config, settings string }

func (f *files) flags(c *cobra.Command) *cobra.Command {
	c.Flags().StringVar(&f.config, "config", "", "the platform's settings file (TOML)")
	c.Flags().StringVar(&f.settings, "settings", "", "the operator's own settings (protobuf text format)")
	cobra.CheckErr(c.MarkFlagRequired("config"))
	return c
}

func serveCommand() *cobra.Command {
	var f files
	return f.flags(&cobra.Command{Use: "serve", Short: "Run a controller", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cfg, set, err := f.load()
			if err != nil {
				return err
			}
			return failed(serve(c.Context(), cfg, set))
		}})
}

func checkCommand() *cobra.Command {
	var f files
	return f.flags(&cobra.Command{Use: "check", Short: "Check the settings files, reporting all mistakes",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			if _, _, err := f.load(); err != nil {
				return err
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), "settings are fine")
			return failed(err)
		}})
}

func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(c.OutOrStdout(), "honeylock", version, runtime.Version())
			return failed(err)
		}}
}

// load reads both files even if the first is invalid, so that it reports all mistakes at once.
func (f *files) load() (*config.Platform, *config.Settings, error) {
	cfg, err := config.Load(f.config)
	set, settingsErr := config.LoadSettings(f.settings)
	var msgs []string
	for _, e := range []error{err, settingsErr} {
		if e != nil {
			msgs = append(msgs, e.Error())
		}
	}
	if len(msgs) == 0 {
		if err := set.CheckPlatform(cfg); err != nil {
			msgs = append(msgs, fmt.Sprintf("%s: %v", f.settings, err))
		}
	}
	if len(msgs) > 0 {
		return nil, nil, fmt.Errorf("%s", strings.Join(msgs, "\n"))
	}
	return cfg, set, nil
}

func logger(w io.Writer, level string) *slog.Logger {
	levels := map[string]slog.Level{"": slog.LevelInfo, "info": slog.LevelInfo, "error": slog.LevelError,
		"debug": slog.LevelDebug}
	l, known := levels[level]
	log := slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: l}))
	if !known {
		log.Warn("LOG_LEVEL is unknown, using info", "LOG_LEVEL", level, "allowed", "error, info, debug")
	}
	return log
}

func serve(ctx context.Context, cfg *config.Platform, set *config.Settings) error {
	runtime.GOMAXPROCS(1)
	// CPU time is scarcer than memory: the garbage collector runs a third as often as by
	// default, until memory use is near the limit.
	debug.SetGCPercent(300)
	debug.SetMemoryLimit(int64(cfg.Cluster.Resources.MemMB * 0.7 * (1 << 20)))
	log := logger(os.Stderr, os.Getenv("LOG_LEVEL"))
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(os.Getpid())))
	n := node.New(cfg, set, log, rng)
	reg := prometheus.NewRegistry()
	n.Register(reg)
	srv := server.New(n, cfg.Cluster.Resources.FDLimit, log, reg)
	go srv.Serve(ctx, cfg.Bind, log)
	go n.ServePeers(ctx, cfg.PeerListen)
	if set.Operator != nil {
		opsServer, err := ops.New(n, set.Operator, log, reg)
		if err != nil {
			return err
		}
		go opsServer.Serve(ctx, set.Operator.Listen)
	}
	log.Info("starting", "host", cfg.HostName, "zone", cfg.Zone, "version", version)
	n.Run(ctx)
	n.ResignLeadership()
	return nil
}
