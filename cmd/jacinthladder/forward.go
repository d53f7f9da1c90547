package main

import (
	"bytes"
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/conf/setup"
	"jacinthladder.dev/internal/fleet/build"
	"jacinthladder.dev/internal/fleet/logs"
)

// heapFraction is the fraction, from 0 to 1, of the memory given in the settings that
// the Go runtime may use before it collects garbage more often.
const heapFraction = 0.6

// runForward runs an instance that serves forwarded routes. The settings were read
// from file. The first SIGTERM or interrupt shuts the instance down gracefully; a
// second signal aborts open requests. While the instance runs, changes of the settings
// file are applied. The log is written to out.
func runForward(ctx context.Context, file string, settings *setup.Settings, out io.Writer) error {
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	defer signal.Stop(sighups)
	setMemoryLimit(settings)
	level, err := log.ParseLevel(settings.LogLevel())
	if err != nil {
		return err
	}
	writer := logs.New()
	writerCtx, stopWriter := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	goroutines.Go(func() { writer.Run(writerCtx, out) })
	defer goroutines.Wait()
	defer stopWriter()
	logger := &log.Logger{Level: level, Handler: writer}
	return runUntilSignal(ctx, logger, func(shutdownCtx, abortCtx context.Context) error {
		n, err := build.Front(settings, logger)
		if err != nil {
			return err
		}
		watchCtx, stopWatch := context.WithCancel(ctx)
		goroutines.Go(func() { watchSettings(watchCtx, file, sighups, logger, n.Reload) })
		defer stopWatch()
		return n.Run(shutdownCtx, abortCtx)
	})
}

// reloadInterval is the interval at which the settings file is read again, because the
// file may change without a signal to the process.
const reloadInterval = time.Second

// watchSettings reads the settings file at each reloadInterval, and at once when a
// signal arrives on sighups, until ctx ends. If the file has changed, it sets the
// memory limit and passes the new settings to apply. If the file is invalid or can't
// be read, the current settings stay in force.
func watchSettings(ctx context.Context, file string, sighups <-chan os.Signal, logger log.Interface, apply func(*setup.Settings)) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	var last []byte
	for {
		src, err := os.ReadFile(file)
		switch {
		case err != nil:
			logger.WithError(err).Warn("settings: file can't be read, the current settings stay in force")
		case last == nil:
			last = src
		case !bytes.Equal(src, last):
			last = src
			settings, err := setup.Parse(file, src)
			if err == nil && settings.Forward() == nil {
				err = errors.New("settings: section forward is missing")
			}
			if err != nil {
				logger.WithError(err).Error("settings: file rejected, the current settings stay in force")
				break
			}
			setMemoryLimit(settings)
			apply(settings)
		}
		select {
		case <-sighups:
			logger.Info("settings: received SIGHUP, reading the file again")
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// setMemoryLimit sets the memory limit of the Go runtime to the fraction heapFraction
// of the memory given in the settings. If the settings give no memory, the limit stays
// as it is.
func setMemoryLimit(s *setup.Settings) {
	if m := s.Forward().MemoryMB; m > 0 {
		debug.SetMemoryLimit(int64(float64(m<<20) * heapFraction))
	}
}
