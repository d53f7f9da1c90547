package main

import (
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
)

// headerTimeout limits the time that a client may take to send the header of a request
// to a stand-in.
const headerTimeout = 10 * time.Second

// newStandIn returns the command with a subcommand for each kind of stand-in: the
// platform, a model engine and a plain service.
func newStandIn() *cobra.Command {
	c := &cobra.Command{Use: "standin", Short: "Run a stand-in for the platform, an engine or a plain service"}
	listen := c.PersistentFlags().String("listen", "127.0.0.1:7070", "IP address and port to listen on")
	platformCommand := &cobra.Command{
		Use:     "platform",
		Short:   "Run an in-memory platform: Object API and instance list",
		Example: "  jacinthladder standin platform --listen 127.0.0.1:7070",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return serveStandIn(c, *listen, store.New().Handler()) },
	}
	engineConfig := engine.Config{}
	engineCommand := &cobra.Command{
		Use:     "engine",
		Short:   "Run a model engine that generates text without a model",
		Example: "  jacinthladder standin engine --listen 127.0.0.1:9100 --slots 16 --step 10ms",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return serveStandIn(c, *listen, engine.New(engineConfig).Handler())
		},
	}
	engineCommand.Flags().IntVar(&engineConfig.Slots, "slots", 16, "number of requests run at once")
	engineCommand.Flags().DurationVar(&engineConfig.PrefillPerToken, "prefill", 20*time.Microsecond, "time for each prompt token not in the cache")
	engineCommand.Flags().DurationVar(&engineConfig.TokenInterval, "step", 10*time.Millisecond, "time between two tokens")
	engineCommand.Flags().IntVar(&engineConfig.CachedPrefixes, "cache", 64, "number of prompt prefixes kept in the cache")
	engineCommand.Flags().DurationVar(&engineConfig.ReportDelay, "lag", 500*time.Millisecond, "age of the load that the engine reports")
	engineCommand.Flags().DurationVar(&engineConfig.RunTTL, "keep", time.Minute, "how long finished streams can be resumed")
	plainCommand := &cobra.Command{
		Use:     "plain",
		Short:   "Run a plain service that counts its runs",
		Example: "  jacinthladder standin plain --listen 127.0.0.1:9200",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return serveStandIn(c, *listen, (&plain.Service{Name: *listen}).Handler())
		},
	}
	c.AddCommand(platformCommand, engineCommand, plainCommand)
	return c
}

// serveStandIn serves the stand-in h over HTTP at address, until a SIGTERM or
// interrupt or until ctx of the command c ends. It then closes all connections.
func serveStandIn(c *cobra.Command, address string, h http.Handler) error {
	ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	fmt.Fprintf(c.OutOrStdout(), "stand-in at http://%s\n", listener.Addr())
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	if err := server.Close(); err != nil {
		return err
	}
	if err := <-serveErr; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
