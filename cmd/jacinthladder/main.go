// Jacinthladder is a router fleet for prepaid token budgets: the daemon of an
// entry instance, the operators' commands, and the stand-ins and load to try it.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"jacinthladder.dev/internal/conf/jsonc"
	"jacinthladder.dev/internal/plat/object"
	"jacinthladder.dev/internal/tools/admin"
	"jacinthladder.dev/internal/tools/trial"
)

// Exit codes, as OPERATIONS lists them.
const (
	exitFailed    = 1
	exitUsage     = 2
	exitOvertaken = 3
	exitBroken    = 4
	exitPlatform  = 5
)

// version is set by the linker for releases.
var version = "development"

func main() {
	err := newRoot().ExecuteContext(context.Background())
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "jacinthladder:", err)
	os.Exit(exitCode(err))
}

// errUsage marks a command line that is not right.
var errUsage = errors.New("usage")

func exitCode(err error) int {
	var fault *jsonc.Error
	switch {
	case errors.Is(err, errUsage), errors.As(err, &fault):
		return exitUsage
	case errors.IsAny(err, admin.ErrOvertaken, admin.ErrExists):
		return exitOvertaken
	case errors.Is(err, trial.ErrBroken):
		return exitBroken
	case errors.IsAny(err, object.ErrRefused, object.ErrUnknownOutcome):
		return exitPlatform
	default:
		return exitFailed
	}
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "jacinthladder",
		Short:         "A router fleet for prepaid token budgets",
		SilenceUsage:  true,
		SilenceErrors: true,
		Version:       version,
		Long: `Jacinthladder routes calls to language models and plain services, each paid
for from a prepaid budget before it runs.

Exit codes: 0 done, 1 failed, 2 command line, settings or document at fault,
3 overtaken by someone else's change, 4 an invariant broke, 5 platform out of reach.`,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errors.Mark(err, errUsage) })
	root.AddCommand(newServe(), newService(), newBudget(), newAccount(), newStandin(), newLoad(), newTry(), newMeasure(), newVersion())
	return root
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), "jacinthladder", version) },
	}
}
