package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"jacinthladder.dev/internal/tools/load"
)

// newLoad returns the command that sends requests to a fleet, or directly to engine
// stand-ins, and prints a report.
func newLoad() *cobra.Command {
	config := load.Config{}
	var caller load.Caller
	c := &cobra.Command{
		Use:   "load",
		Short: "Send requests as callers do and print a report",
		Example: "  jacinthladder load --target http://127.0.0.1:8100 --key $KEY --model draft-small --time 10s\n" +
			"  jacinthladder load --target http://127.0.0.1:9100 --direct --model draft-small --time 10s",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if caller.Model == "" && caller.Service == "" {
				return errors.Mark(errors.New("load: no model or service given, expected --model or --service"), errUsage)
			}
			config.Callers = []load.Caller{caller}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			fmt.Fprint(c.OutOrStdout(), load.Run(ctx, config))
			return nil
		},
	}
	flags := c.Flags()
	flags.StringArrayVar(&config.Targets, "target", nil, "base URL to send requests to; repeat the flag for more")
	flags.StringVar(&caller.Key, "key", "", "bearer key of the client account")
	flags.StringVar(&caller.Model, "model", "", "model to call")
	flags.StringVar(&caller.Service, "service", "", "plain service to call")
	flags.StringVar(&caller.Path, "path", "/", "path of the plain calls")
	flags.IntVar(&config.Count, "count", 0, "requests to send, 0 for no limit")
	flags.DurationVar(&config.Duration, "time", 10*time.Second, "how long to send requests")
	flags.Float64Var(&config.Rate, "rate", 0, "requests per second, 0 for as many as the workers can send")
	flags.IntVar(&config.Workers, "workers", 16, "concurrent requests")
	flags.Float64Var(&config.StreamFraction, "stream", 1, "fraction of the model calls that stream")
	flags.Int64Var(&config.Tokens, "tokens", 64, "max_tokens of each model call")
	flags.IntVar(&config.SystemMessages, "themes", 16, "number of different first messages")
	flags.BoolVar(&config.Direct, "direct", false, "the targets are engine stand-ins")
	flags.BoolVar(&config.Check, "check", false, "the engines are stand-ins: check the content of every response")
	flags.Uint64Var(&config.Seed, "seed", 1, "random seed of the load")
	markRequired(c, "target")
	return c
}
