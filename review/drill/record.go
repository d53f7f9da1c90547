package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	lines *bufio.Writer
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, lines: bufio.NewWriter(f), began: time.Now()}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.lines, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.lines.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
