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
)

func newServe() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:     "serve --settings FILE",
		Short:   "Run an entry instance",
		Example: "  jacinthladder serve --settings examples/okonjo/entry-1.jsonc",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := setup.Load(file)
			if err != nil {
				return err
			}
			logger, err := newLogger(c.ErrOrStderr(), s.Level(), s.Format())
			if err != nil {
				return err
			}
			return serve(c.Context(), s, logger)
		},
	}
	c.Flags().StringVar(&file, "settings", "", "settings file, JSON with comments")
	if err := c.MarkFlagRequired("settings"); err != nil {
		panic(err) // the flag is defined above
	}
	return c
}

// serve runs until the first SIGTERM or interrupt, then stops as planned. A
// second signal ends the wait for open requests.
func serve(ctx context.Context, s *setup.Settings, logger log.Interface) error {
	n, err := build.Node(s, logger)
	if err != nil {
		return err
	}
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
	return n.Run(planned, now)
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
