package main

import (
	"github.com/spf13/cobra"

	"jacinthladder.dev/internal/tools/slopes"
)

// newMeasure returns the command that measures how the cost of each role of the fleet
// grows, and writes the capacity page.
func newMeasure() *cobra.Command {
	var folder string
	c := &cobra.Command{
		Use:   "measure",
		Short: "Measure how the cost of each role grows and write the capacity page",
		Long: `Measure runs each role at several sizes against stand-ins, all in this process
on loopback, fits a line to the costs of each role, and writes CAPACITY.md and
its plots. It takes a few minutes and up to about 3 GB of memory.`,
		Example: "  jacinthladder measure --folder docs",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return slopes.Write(c.Context(), folder) },
	}
	c.Flags().StringVar(&folder, "folder", "docs", "folder of the page; the plots go to its subfolder plots")
	return c
}
