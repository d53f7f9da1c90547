package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"jacinthladder.dev/internal/tools/trial"
)

// newTry returns the command that runs a whole fleet in this process under a short
// load: instances, and stand-ins for the platform, the engines and the plain services.
func newTry() *cobra.Command {
	var level string
	load := trial.DefaultLoad()
	c := &cobra.Command{
		Use:   "try",
		Short: "Run a whole fleet on loopback and print a report",
		Long: `Try starts a platform, engines and plain services as stand-ins, and five
instances in four availability zones, all in this process on loopback. It sends
a short load, shuts the instances down gracefully, and prints a report. It
exits with 4 if an invariant was violated.`,
		Example: "  jacinthladder try\n  jacinthladder try --rate 800 --time 10s --level info",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			logger, err := newLogger(c.ErrOrStderr(), level, "text")
			if err != nil {
				return err
			}
			start := time.Now()
			if err := trial.Run(c.Context(), trial.DefaultConfig(logger), load, c.OutOrStdout()); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%-22sall invariants held, %s in all\n", "verdict", time.Since(start).Round(time.Millisecond))
			return nil
		},
	}
	c.Flags().StringVar(&level, "level", "error", "lowest level to log: debug, info, warn or error")
	c.Flags().IntVar(&load.Count, "count", load.Count, "requests to send")
	c.Flags().Float64Var(&load.Rate, "rate", load.Rate, "requests per second")
	c.Flags().DurationVar(&load.Duration, "time", load.Duration, "maximum time to send requests")
	c.Flags().IntVar(&load.Workers, "workers", load.Workers, "concurrent requests")
	c.Flags().Uint64Var(&load.Seed, "seed", load.Seed, "random seed of the load")
	return c
}
