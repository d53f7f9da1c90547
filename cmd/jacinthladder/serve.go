package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"
	textlog "github.com/apex/log/handlers/text"
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"jacinthladder.dev/internal/conf/setup"
	"jacinthladder.dev/internal/fleet/build"
	"jacinthladder.dev/platform"
)

// newServe returns the command that runs an instance of the fleet: an instance that
// serves forwarded routes if the settings have the section forward, otherwise an entry
// instance.
func newServe() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:     "serve --settings FILE",
		Short:   "Run an entry instance",
		Example: "  jacinthladder serve --settings examples/okonjo/entry-1.jsonc",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if file == "" {
				file = os.Getenv(platform.SettingsVariable)
			}
			if file == "" {
				return errors.Mark(errors.New("serve: no settings file given, expected --settings"), errUsage)
			}
			s, err := setup.Load(file)
			if err != nil {
				return err
			}
			if s.Forward() != nil {
				return runForward(c.Context(), file, s, c.OutOrStdout())
			}
			logger, err := newLogger(c.ErrOrStderr(), s.LogLevel(), s.LogFormat())
			if err != nil {
				return err
			}
			return runEntry(c.Context(), s, logger)
		},
	}
	c.Flags().StringVar(&file, "settings", "", "settings file, JSON with comments; by default the file that "+platform.SettingsVariable+" names")
	return c
}

// runEntry runs an entry instance with the settings s. The first SIGTERM or interrupt
// shuts the instance down gracefully, which waits for open requests to end. A second
// signal aborts the open requests.
func runEntry(ctx context.Context, s *setup.Settings, logger log.Interface) error {
	n, err := build.Node(s, logger)
	if err != nil {
		return err
	}
	return runUntilSignal(ctx, logger, n.Run)
}

// runUntilSignal calls run with two contexts and returns the error of run. The first
// SIGTERM or interrupt cancels the context ctx of run, which must then shut down
// gracefully. The second signal cancels abortCtx, and run must then abort open
// requests.
func runUntilSignal(ctx context.Context, logger log.Interface, run func(ctx, abortCtx context.Context) error) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	shutdownCtx, shutdown := context.WithCancel(ctx)
	defer shutdown()
	abortCtx, abort := context.WithCancel(ctx)
	defer abort()
	go func() {
		logger.Infof("serve: received %s, shutting down gracefully", <-signals)
		shutdown()
		logger.Warnf("serve: received %s during shutdown, aborting open requests", <-signals)
		abort()
	}()
	return run(shutdownCtx, abortCtx)
}

// newLogger returns a logger that writes log entries of the given level and above to
// w. It writes JSON if format is "json", otherwise text. An unknown level is an error
// marked as errUsage.
func newLogger(w io.Writer, level, format string) (log.Interface, error) {
	l, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.Mark(errors.Newf("level: unknown log level %q, expected debug, info, warn or error", level), errUsage)
	}
	logger := &log.Logger{Level: l, Handler: textlog.New(w)}
	if format == "json" {
		logger.Handler = jsonlog.New(w)
	}
	return logger, nil
}
