package replay

import (
	"context"
	"sync"

	"jacinthladder.dev/internal/entry/price"
	"jacinthladder.dev/internal/entry/relay"
)

// Response buffers a response while it is produced. Any number of readers may
// follow it from the start. The zero value is empty and not ended.
type Response struct {
	mu      sync.Mutex
	chunks  []string
	last    string
	usage   price.Usage
	size    int64
	ended   bool
	err     error
	changed chan struct{}
}

// Sink returns a sink that appends to the response.
func (r *Response) Sink() relay.Sink {
	return relay.Sink{
		Chunk: func(data string, _ bool) error {
			r.add(data)
			return nil
		},
		End: func(data string, u price.Usage) error {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.last, r.usage = data, u
			r.size += int64(len(data))
			return nil
		},
	}
}

func (r *Response) add(data string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chunks = append(r.chunks, data)
	r.size += int64(len(data))
	r.broadcast()
}

// End ends the response. It is complete if err is nil.
func (r *Response) End(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended, r.err = true, err
	r.broadcast()
}

// broadcast wakes all readers that wait for a change. It requires the lock.
func (r *Response) broadcast() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// Follow delivers the response to a sink from the start until it ends, and waits
// for chunks that are not yet produced. It returns the error that the response
// ended with.
func (r *Response) Follow(ctx context.Context, sink relay.Sink) error {
	for index := 0; ; {
		chunks, last, ended, changed := r.readFrom(index)
		for i, chunk := range chunks {
			if err := sink.Chunk(chunk, i < len(chunks)-1); err != nil {
				return relay.ErrCallerGone
			}
		}
		index += len(chunks)
		if ended {
			return r.deliverEnd(sink, last)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return relay.ErrCallerGone
		}
	}
}

func (r *Response) deliverEnd(sink relay.Sink, last string) error {
	if r.err != nil {
		return r.err
	}
	if err := sink.End(last, r.usage); err != nil {
		return relay.ErrCallerGone
	}
	return nil
}

// readFrom returns the chunks from an index on. The channel changed is closed at
// the next change.
func (r *Response) readFrom(index int) (chunks []string, last string, ended bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.chunks[min(max(index, 0), len(r.chunks)):], r.last, r.ended, r.changed
}

// Segment is the part of a response from some chunk to the last one so far.
type Segment struct {
	Chunks []string
	Ended  bool
	Last   string
	Usage  price.Usage
	Err    error // that the response ended with
}

// Read returns the segment from the chunk at index on. If the response has not
// ended and has no chunk there yet, Read first waits for a change until ctx ends.
func (r *Response) Read(ctx context.Context, index int) Segment {
	chunks, last, ended, changed := r.readFrom(index)
	if len(chunks) == 0 && !ended {
		select {
		case <-changed:
		case <-ctx.Done():
		}
		chunks, last, ended, _ = r.readFrom(index)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return Segment{Chunks: chunks, Ended: ended, Last: last, Usage: r.usage, Err: r.err}
}

// Size returns the size of the response in bytes.
func (r *Response) Size() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.size
}

// discard frees the memory of the response.
func (r *Response) discard() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chunks, r.last, r.size = nil, "", 0
}
