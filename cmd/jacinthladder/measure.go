package main

import (
	"github.com/spf13/cobra"

	"jacinthladder.dev/internal/tools/slopes"
)

func newMeasure() *cobra.Command {
	var folder string
	c := &cobra.Command{
		Use:   "measure",
		Short: "Measure the slopes of each role and write the capacity page",
		Long: `Measure runs each role at several sizes on stand-ins in this process, on
loopback, fits the slopes, and writes CAPACITY.md and its plots. It takes a few
minutes and up to some 3 GB.`,
		Example: "  jacinthladder measure --folder docs",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return slopes.Write(c.Context(), folder) },
	}
	c.Flags().StringVar(&folder, "folder", "docs", "folder of the page; its plots go to plots below it")
	return c
}
