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

// heapShare is the part of the memory that the runtime may use before it collects
// more often.
const heapShare = 0.6

// forward runs an instance for forwarded routes.
func forward(ctx context.Context, file string, s *setup.Settings, out io.Writer) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	limitMemory(s)
	level, err := log.ParseLevel(s.LogLevel())
	if err != nil {
		return err
	}
	w := logs.New()
	writing, end := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { w.Run(writing, out) })
	defer work.Wait()
	defer end()
	logger := &log.Logger{Level: level, Handler: w}
	return untilSignal(ctx, logger, func(planned, now context.Context) error {
		n, err := build.Front(s, logger)
		if err != nil {
			return err
		}
		watching, stop := context.WithCancel(ctx)
		work.Go(func() { reload(watching, file, hangups, logger, n.Reload) })
		defer stop()
		return n.Run(planned, now)
	})
}

// reloadTime is how often the settings file is looked at, since it may change
// without a signal.
const reloadTime = time.Second

// reload puts settings in force when the file changes, at once when a signal comes,
// until ctx ends. A file that does not hold together leaves the old ones in force.
func reload(ctx context.Context, file string, signals <-chan os.Signal, logger log.Interface, apply func(*setup.Settings)) {
	t := time.NewTicker(reloadTime)
	defer t.Stop()
	var last []byte
	for {
		src, err := os.ReadFile(file)
		switch {
		case err != nil:
			logger.WithError(err).Warn("settings: can't be read, the old ones stay in force")
		case last == nil:
			last = src
		case !bytes.Equal(src, last):
			last = src
			s, err := setup.Parse(file, src)
			if err == nil && s.Forward() == nil {
				err = errors.New("settings: forward: missing")
			}
			if err != nil {
				logger.WithError(err).Error("settings: refused, the old ones stay in force")
				break
			}
			limitMemory(s)
			apply(s)
		}
		select {
		case <-signals:
			logger.Info("settings: told to read the file again")
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// limitMemory makes the runtime keep within the settings' memory.
func limitMemory(s *setup.Settings) {
	if m := s.Forward().MemoryMB; m > 0 {
		debug.SetMemoryLimit(int64(float64(m<<20) * heapShare))
	}
}
