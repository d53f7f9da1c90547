package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"jacinthladder.dev/internal/conf/spec"
	"jacinthladder.dev/internal/plat/object"
	"jacinthladder.dev/internal/tools/admin"
)

// callTimeout limits the time of one call to the platform that an operator's command
// makes.
const callTimeout = 10 * time.Second

// addPlatformFlag adds the flag --platform to the command c. The returned function
// creates a client of the platform whose base URL is the value of the flag. It must be
// called after the flags are parsed.
func addPlatformFlag(c *cobra.Command) func() *admin.Admin {
	base := c.PersistentFlags().String("platform", "http://127.0.0.1:7070", "base URL of the platform's Object API")
	return func() *admin.Admin {
		return &admin.Admin{Store: object.NewHTTP(*base, &http.Client{Timeout: callTimeout})}
	}
}

// newService returns the command with the subcommands that check, apply and show
// service documents.
func newService() *cobra.Command {
	c := &cobra.Command{Use: "service", Short: "Check, apply and show service documents"}
	newAdmin := addPlatformFlag(c)
	check := &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a service document without the platform",
		Example: "  jacinthladder service check examples/okonjo/drafting-models.jsonc",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			src, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			s, err := spec.Parse(args[0], src, 0)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: service %s is well formed: %d endpoints, %d client accounts\n",
				args[0], s.Name(), len(s.Endpoints()), len(s.Accounts()))
			return nil
		},
	}
	c.AddCommand(check, newApply(newAdmin), newShowService(newAdmin))
	return c
}

// newApply returns the command that applies a service document. The function newAdmin
// creates the client of the platform.
func newApply(newAdmin func() *admin.Admin) *cobra.Command {
	var base int64
	c := &cobra.Command{
		Use:   "apply FILE",
		Short: "Apply a service document",
		Long: `Apply checks a document as a whole, including the budgets that it names, and
puts it in force. To change an existing service, set --base to the version that
the document was edited from, as show prints it. If the service has changed since
that version, nothing is written, and the exit code is 3.`,
		Example: "  jacinthladder service apply drafting-models.jsonc --base 17",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			src, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			s, version, err := newAdmin().Apply(c.Context(), args[0], src, base)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "service %s is at version %d\n", s.Name(), version)
			return nil
		},
	}
	c.Flags().Int64Var(&base, "base", 0, "version of the service that the document was edited from, 0 for a new service")
	return c
}

// newShowService returns the command that prints a service document. The function
// newAdmin creates the client of the platform.
func newShowService(newAdmin func() *admin.Admin) *cobra.Command {
	return &cobra.Command{
		Use:     "show NAME",
		Short:   "Print a service document; its version goes to standard error",
		Example: "  jacinthladder service show drafting-models > drafting-models.jsonc",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			src, version, err := newAdmin().Service(c.Context(), args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(c.ErrOrStderr(), "service %s is at version %d\n", args[0], version)
			_, err = c.OutOrStdout().Write(src)
			return err
		},
	}
}

// newBudget returns the command with the subcommands that create, top up, attach and
// show prepaid budgets, and that close the share of a dead instance.
func newBudget() *cobra.Command {
	c := &cobra.Command{Use: "budget", Short: "Create, top up, attach and show prepaid budgets"}
	newAdmin := addPlatformFlag(c)
	var account, id string
	var amount int64
	create := &cobra.Command{
		Use:     "create NAME --account ACCOUNT",
		Short:   "Create an empty budget of a client account",
		Example: "  jacinthladder budget create field-north-main --account field-north",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := newAdmin().CreateBudget(c.Context(), args[0], account); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "budget %s of account %s is created, with nothing paid\n", args[0], account)
			return nil
		},
	}
	create.Flags().StringVar(&account, "account", "", "client account that owns the budget")
	topup := &cobra.Command{
		Use:     "topup NAME --id ID --amount N",
		Short:   "Pay micro-units into a budget, once per payment ID",
		Example: "  jacinthladder budget topup field-north-main --id invoice-2207 --amount 5000000",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			b, err := newAdmin().TopUp(c.Context(), args[0], id, amount)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "budget %s has %d paid, %d free\n", args[0], b.Paid(), b.Free())
			return nil
		},
	}
	topup.Flags().StringVar(&id, "id", "", "ID of the payment; a repeated ID pays nothing more")
	topup.Flags().Int64Var(&amount, "amount", 0, "micro-units")
	attach := &cobra.Command{
		Use:     "attach BUDGET SERVICE",
		Short:   "Let the account of a budget spend the budget on a service",
		Example: "  jacinthladder budget attach field-north-main drafting-models",
		Args:    cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			version, err := newAdmin().Attach(c.Context(), args[0], args[1])
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "service %s is at version %d\n", args[1], version)
			return nil
		},
	}
	show := &cobra.Command{
		Use:     "show NAME",
		Short:   "Show the paid, spent, held, stranded and free amounts of a budget and its shares",
		Example: "  jacinthladder budget show field-north-main",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			b, err := newAdmin().Budget(c.Context(), args[0])
			if err != nil {
				return err
			}
			fmt.Fprint(c.OutOrStdout(), admin.Explain(args[0], b))
			return nil
		},
	}
	var spent int64
	forceClose := &cobra.Command{
		Use:   "attest NAME SHARE --spent N",
		Short: "Close the share of a dead instance at the amount it has spent",
		Long: `Attest closes the share of a dead instance and frees the rest of the share. Run
it only if you know two things: the process of the instance has ended and will not
resume, and it has spent at most N micro-units of this share in total, as the
engines' logs show. If either is wrong, the budget may be overspent.`,
		Example: "  jacinthladder budget attest field-north-main entry-1/0a1b2c3d4e5f/1 --spent 120000",
		Args:    cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			b, err := newAdmin().ForceClose(c.Context(), args[0], args[1], spent)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "budget %s has %d free\n", args[0], b.Free())
			return nil
		},
	}
	forceClose.Flags().Int64Var(&spent, "spent", 0, "micro-units that the share has spent in total")
	markRequired(forceClose, "spent")
	markRequired(create, "account")
	markRequired(topup, "id", "amount")
	c.AddCommand(create, topup, attach, show, forceClose)
	return c
}

// newAccount returns the command with the subcommands that create client accounts, add
// keys to them and show them.
func newAccount() *cobra.Command {
	c := &cobra.Command{Use: "account", Short: "Create and show client accounts"}
	newAdmin := addPlatformFlag(c)
	create := &cobra.Command{
		Use:     "create NAME",
		Short:   "Create a client account and print its bearer key, which is shown only once",
		Example: "  jacinthladder account create field-north",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			key := admin.NewKey()
			if _, err := newAdmin().CreateAccount(c.Context(), args[0], key); err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), key)
			return nil
		},
	}
	addKey := &cobra.Command{
		Use:     "key NAME",
		Short:   "Add a bearer key to a client account and print it; it is shown only once",
		Example: "  jacinthladder account key field-north",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			key := admin.NewKey()
			if _, err := newAdmin().AddKey(c.Context(), args[0], key); err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), key)
			return nil
		},
	}
	show := &cobra.Command{
		Use:     "show NAME",
		Short:   "Show a client account",
		Example: "  jacinthladder account show field-north",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			a, version, err := newAdmin().Account(c.Context(), args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "account %s has %d keys, version %d\n", a.Name, len(a.Keys), version)
			return nil
		},
	}
	c.AddCommand(create, addKey, show)
	return c
}

// markRequired makes the command c fail if one of the flags is not on the command
// line. The arguments flags are the names of flags that c already has.
func markRequired(c *cobra.Command, flags ...string) {
	for _, f := range flags {
		if err := c.MarkFlagRequired(f); err != nil {
			panic(errors.Wrap(err, f)) // unreachable: every caller defines these flags before the call
		}
	}
}
