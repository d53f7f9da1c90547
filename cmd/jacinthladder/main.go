// Jacinthladder is a router fleet for prepaid token budgets. The program contains
// the daemon of an instance, the operators' commands, and stand-ins and a load generator
// to try the fleet with.
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

// Exit codes of the program, as documented in docs/OPERATIONS.md. 0 is success.
const (
	exitFailure     = 1 // a failure that no other exit code stands for
	exitUsage       = 2 // invalid command line, settings or service document
	exitConflict    = 3 // another change of the object was made first, or the object to be created already exists
	exitInvariant   = 4 // a trial found an escrow invariant violated
	exitUnavailable = 5 // the platform refused the call or did not respond
)

// version is the version of the program. The linker sets it in release builds.
var version = "development"

// main runs the command that the command line names. If the command fails, main prints
// its error to standard error and exits with the code of the error.
func main() {
	err := newRoot().ExecuteContext(context.Background())
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "jacinthladder:", err)
	os.Exit(exitCode(err))
}

// errUsage marks the errors of an invalid command line or invalid settings, so that
// the program exits with exitUsage.
var errUsage = errors.New("usage")

// exitCode returns the exit code of the program for the error err with which a command
// ended.
func exitCode(err error) int {
	var sourceErr *jsonc.Error
	switch {
	case errors.Is(err, errUsage), errors.As(err, &sourceErr):
		return exitUsage
	case errors.IsAny(err, admin.ErrConflict, admin.ErrExists):
		return exitConflict
	case errors.Is(err, trial.ErrInvariant):
		return exitInvariant
	case errors.IsAny(err, object.ErrRefused, object.ErrUnknownOutcome):
		return exitUnavailable
	default:
		return exitFailure
	}
}

// newRoot returns the command jacinthladder with all its subcommands.
func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "jacinthladder",
		Short:         "A router fleet for prepaid token budgets",
		SilenceUsage:  true,
		SilenceErrors: true,
		Version:       version,
		Long: `Jacinthladder routes calls to language models and plain services. The cost of
each call is reserved on a prepaid budget before it runs.

Exit codes: 0 success, 1 failure, 2 invalid command line, settings or document,
3 conflict with another change, 4 invariant violated, 5 platform unavailable.`,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errors.Mark(err, errUsage) })
	root.AddCommand(newServe(), newService(), newBudget(), newAccount(), newStandIn(), newLoad(), newTry(), newMeasure(), newVersion())
	return root
}

// newVersion returns the command that prints the version of the program.
func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), "jacinthladder", version) },
	}
}
