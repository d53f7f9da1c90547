// Package output collects what the processes that a test starts write.
package output

import "sync"

// Buffer collects the output of a process. It can be read while the process writes. The
// zero value is empty.
type Buffer struct {
	mu   sync.Mutex
	data []byte
}

// Write appends to the buffer. It always succeeds.
func (b *Buffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data = append(b.data, data...)
	return len(data), nil
}

// Bytes returns the output written so far. The caller must not change it.
func (b *Buffer) Bytes() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data[:len(b.data):len(b.data)]
}

// String returns the output written so far.
func (b *Buffer) String() string { return string(b.Bytes()) }
