// Command honeylock runs a controller of the honeylock cluster scheduler. It also contains
// the command-line clients of users and operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

const version = "0.9.1"

// Exit codes.
const (
	exitFailed = 1 // the command failed or was refused
	exitUsage  = 2 // wrong usage, or an invalid file
)

// failure marks an error that is not caused by wrong usage. It decides the exit code.
type failure struct{ error }

func (f failure) Unwrap() error { return f.error }

// failed marks an error as a failure; nil stays nil.
func failed(err error) error {
	if err == nil {
		return nil
	}
	return failure{err}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := command().ExecuteContext(ctx)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "honeylock:", err)
	code := exitUsage
	if errors.As(err, new(failure)) {
		code = exitFailed
	}
	os.Exit(code)
}

func command() *cobra.Command {
	root := &cobra.Command{Use: "honeylock", Short: "A cluster scheduler: batch jobs and services on rented machines",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(serveCommand(), checkCommand(), versionCommand(), devCommand(), jobCommand(), drainCommand(),
		teamCommand(), memberCommand(), auditCommand(), scaleCommand())
	return root
}
