package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"jacinthladder.dev/internal/stand/engine"
	"jacinthladder.dev/internal/stand/plain"
	"jacinthladder.dev/internal/stand/store"
	"jacinthladder.dev/internal/tools/load"
)

// headTime bounds the reading of a request's head.
const headTime = 10 * time.Second

func newStandin() *cobra.Command {
	c := &cobra.Command{Use: "standin", Short: "Run a stand-in for the platform, an engine or a plain service"}
	listen := c.PersistentFlags().String("listen", "127.0.0.1:7070", "IP number and port")
	platform := &cobra.Command{
		Use:     "platform",
		Short:   "Run a platform in memory: Object API and instance list",
		Example: "  jacinthladder standin platform --listen 127.0.0.1:7070",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return host(c, *listen, store.New().Handler()) },
	}
	e := engine.Config{}
	model := &cobra.Command{
		Use:     "engine",
		Short:   "Run a model engine that makes text without a model",
		Example: "  jacinthladder standin engine --listen 127.0.0.1:9100 --slots 16 --step 10ms",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return host(c, *listen, engine.New(e).Handler()) },
	}
	model.Flags().IntVar(&e.Slots, "slots", 16, "requests batched")
	model.Flags().DurationVar(&e.Prefill, "prefill", 20*time.Microsecond, "time for each prompt token not in the cache")
	model.Flags().DurationVar(&e.Step, "step", 10*time.Millisecond, "time between two tokens")
	model.Flags().IntVar(&e.Cache, "cache", 64, "prefixes kept")
	model.Flags().DurationVar(&e.Lag, "lag", 500*time.Millisecond, "age of the load report")
	model.Flags().DurationVar(&e.Keep, "keep", time.Minute, "how long finished streams can be resumed")
	other := &cobra.Command{
		Use:     "plain",
		Short:   "Run a plain service that counts its runs",
		Example: "  jacinthladder standin plain --listen 127.0.0.1:9200",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return host(c, *listen, (&plain.Service{Name: *listen}).Handler())
		},
	}
	c.AddCommand(platform, model, other)
	return c
}

// host serves a stand-in until SIGTERM or an interrupt.
func host(c *cobra.Command, address string, h http.Handler) error {
	ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headTime}
	fmt.Fprintf(c.OutOrStdout(), "stand-in at http://%s\n", l.Addr())
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(l) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	if err := s.Close(); err != nil {
		return err
	}
	if err := <-failed; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func newLoad() *cobra.Command {
	l := load.Config{}
	var caller load.Caller
	c := &cobra.Command{
		Use:   "load",
		Short: "Send requests as callers do, and report",
		Example: "  jacinthladder load --target http://127.0.0.1:8100 --key $KEY --model draft-small --time 10s\n" +
			"  jacinthladder load --target http://127.0.0.1:9100 --direct --model draft-small --time 10s",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if caller.Model == "" && caller.Service == "" {
				return errors.Mark(errors.New("load: name a --model or a --service"), errUsage)
			}
			l.Callers = []load.Caller{caller}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			fmt.Fprint(c.OutOrStdout(), load.Run(ctx, l))
			return nil
		},
	}
	f := c.Flags()
	f.StringArrayVar(&l.Targets, "target", nil, "base address; give it again for more")
	f.StringVar(&caller.Key, "key", "", "bearer key")
	f.StringVar(&caller.Model, "model", "", "model to call")
	f.StringVar(&caller.Service, "service", "", "plain service to call")
	f.StringVar(&caller.Path, "path", "/", "path of the plain calls")
	f.IntVar(&l.Count, "count", 0, "requests to send, 0 for no bound")
	f.DurationVar(&l.Time, "time", 10*time.Second, "how long to send")
	f.Float64Var(&l.Rate, "rate", 0, "requests a second, 0 for as fast as the workers are")
	f.IntVar(&l.Workers, "workers", 16, "requests open at once")
	f.Float64Var(&l.Stream, "stream", 1, "part of the model calls that stream")
	f.Int64Var(&l.Tokens, "tokens", 64, "max_tokens")
	f.IntVar(&l.Themes, "themes", 16, "different first messages")
	f.BoolVar(&l.Direct, "direct", false, "the target is an engine stand-in")
	f.BoolVar(&l.Check, "check", false, "engines are stand-ins: compare every answer")
	f.Uint64Var(&l.Seed, "seed", 1, "seed of the load")
	require(c, "target")
	return c
}
