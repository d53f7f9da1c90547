package replay

import (
	"context"
	"sync"

	"jacinthladder.dev/internal/entry/price"
	"jacinthladder.dev/internal/entry/relay"
)

// Response buffers the response to a call while it is produced. Any number of readers
// may follow it from the start. The zero value is empty and not ended.
type Response struct {
	mu      sync.Mutex
	chunks  []string    // all chunks so far except the last chunk of the response
	last    string      // last chunk of the response, empty until it is produced
	usage   price.Usage // of the run, set with last
	size    int64       // of chunks and last, in bytes
	ended   bool
	err     error         // with which the response ended, nil if it is complete or not ended
	changed chan struct{} // closed at the next change, nil if no reader waits
}

// Sink returns a sink that appends the chunks that it receives to the response. The
// sink's function End only stores the last chunk and the usage; the response ends with
// a call of Response.End.
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

// End marks the response as ended. It is complete if err is nil. Otherwise its readers
// get err after the chunks.
func (r *Response) End(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended, r.err = true, err
	r.broadcast()
}

// broadcast wakes all readers that wait for a change. The caller must hold r.mu.
func (r *Response) broadcast() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// Follow delivers the response to a sink from the start until the response ends, and
// waits for chunks that are not yet produced. It returns the error with which the
// response ended. If ctx ends first or the sink returns an error, it returns
// relay.ErrCallerGone.
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

// deliverEnd delivers the last chunk of a complete response to a sink, or returns the
// error with which the response ended. It must be called after the response has ended.
func (r *Response) deliverEnd(sink relay.Sink, last string) error {
	if r.err != nil {
		return r.err
	}
	if err := sink.End(last, r.usage); err != nil {
		return relay.ErrCallerGone
	}
	return nil
}

// readFrom returns the chunks from an index on, without the last chunk of the response.
// That chunk is returned as last, empty until it is produced. The result ended reports
// whether the response has ended. The channel changed is closed at the next change of
// the response.
func (r *Response) readFrom(index int) (chunks []string, last string, ended bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.chunks[min(max(index, 0), len(r.chunks)):], r.last, r.ended, r.changed
}

// Segment is the part of a response from the chunk at some index to the newest chunk.
type Segment struct {
	Chunks []string    // without the last chunk of the response
	Ended  bool        // the response has ended
	Last   string      // last chunk of the response, empty until it is produced
	Usage  price.Usage // of the run, set with Last
	Err    error       // with which the response ended, nil if it is complete or not ended
}

// Read returns the segment from the chunk at index on. If the response has not ended and
// has no chunk at index yet, Read first waits until the response changes or ctx ends.
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

// Size returns the total size of the chunks that the response holds, in bytes.
func (r *Response) Size() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.size
}

// discard drops the chunks of the response to free their memory.
func (r *Response) discard() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chunks, r.last, r.size = nil, "", 0
}
