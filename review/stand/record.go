package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the file record.txt of a case: what was sent, answered and run, and when.
type record struct {
	mu      sync.Mutex
	file    *os.File
	writer  *bufio.Writer
	startAt time.Time
}

// newRecord creates the record in a folder.
func newRecord(folder string) (*record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: f, writer: bufio.NewWriter(f), startAt: time.Now()}, nil
}

// add writes one line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.writer, "%8.3f  ", time.Since(r.startAt).Seconds())
	fmt.Fprintf(r.writer, format, args...)
	fmt.Fprintln(r.writer)
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf("%8.3f  ", time.Since(r.startAt).Seconds())
	fmt.Printf(format+"\n", args...)
}

// close writes what is left and closes the file.
func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.writer.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
