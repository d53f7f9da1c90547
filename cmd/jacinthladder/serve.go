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
				return errors.Mark(errors.New("serve: no settings file is named"), errUsage)
			}
			s, err := setup.Load(file)
			if err != nil {
				return err
			}
			if s.Forward() != nil {
				return forward(c.Context(), file, s, c.OutOrStdout())
			}
			logger, err := newLogger(c.ErrOrStderr(), s.LogLevel(), s.LogFormat())
			if err != nil {
				return err
			}
			return serve(c.Context(), s, logger)
		},
	}
	c.Flags().StringVar(&file, "settings", "", "settings file, JSON with comments; left out, "+platform.SettingsVariable+" names it")
	return c
}

// serve runs until the first SIGTERM or interrupt, then stops as planned. A
// second signal ends the wait for open requests.
func serve(ctx context.Context, s *setup.Settings, logger log.Interface) error {
	n, err := build.Node(s, logger)
	if err != nil {
		return err
	}
	return untilSignal(ctx, logger, n.Run)
}

// untilSignal runs run, ends its first context at the first SIGTERM or interrupt
// and its second at the next.
func untilSignal(ctx context.Context, logger log.Interface, run func(ctx, now context.Context) error) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	planned, stop := context.WithCancel(ctx)
	defer stop()
	now, cut := context.WithCancel(ctx)
	defer cut()
	go func() {
		logger.Infof("serve: got %s, stopping as planned", <-signals)
		stop()
		logger.Warnf("serve: got %s again, open requests are cut off", <-signals)
		cut()
	}()
	return run(planned, now)
}

// newLogger returns a logger that writes lines of text or JSON.
func newLogger(w io.Writer, level, format string) (log.Interface, error) {
	l, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.Mark(errors.Newf("level: %q is none of debug, info, warn, error", level), errUsage)
	}
	logger := &log.Logger{Level: l, Handler: textlog.New(w)}
	if format == "json" {
		logger.Handler = jsonlog.New(w)
	}
	return logger, nil
}
