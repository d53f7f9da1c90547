package main

import (
	"context"
	"io"
	"runtime/debug"
	"sync"

	"github.com/apex/log"

	"jacinthladder.dev/internal/conf/setup"
	"jacinthladder.dev/internal/fleet/build"
	"jacinthladder.dev/internal/fleet/lines"
)

// heapShare is the part of the memory that the runtime may use before it collects
// more often.
const heapShare = 0.6

// forward runs an instance for forwarded routes.
func forward(ctx context.Context, s *setup.Settings, out io.Writer) error {
	if m := s.Forward().Megabytes; m > 0 {
		debug.SetMemoryLimit(int64(float64(m<<20) * heapShare))
	}
	level, err := log.ParseLevel(s.Level())
	if err != nil {
		return err
	}
	w := lines.New()
	writing, end := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { w.Run(writing, out) })
	defer work.Wait()
	defer end()
	logger := &log.Logger{Level: level, Handler: w}
	n, err := build.Front(s, logger)
	if err != nil {
		return err
	}
	return untilSignal(ctx, logger, n.Run)
}
