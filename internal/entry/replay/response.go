package replay

import (
	"context"
	"sync"

	"jacinthladder.dev/internal/entry/price"
	"jacinthladder.dev/internal/entry/relay"
)

// Response buffers the response to a call while it is produced. Any number of readers
// may follow it from its first chunk on. The zero value has no chunks and has not
// ended.
type Response struct {
	mu      sync.Mutex
	chunks  []string    // chunks produced so far, without the last chunk of the response
	last    string      // last chunk of the response, empty until it is produced
	usage   price.Usage // usage of the run, set together with last
	size    int64       // total size of chunks and last, in bytes
	ended   bool
	err     error         // error with which the response ended, nil if it is complete or has not ended
	changed chan struct{} // closed at the next change of the response, nil if no reader waits for one
}

// Sink returns a sink that appends the chunks that it receives to the response. The
// function End of the sink only stores the last chunk and the usage. The response
// itself ends with a call of Response.End.
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

// add appends a chunk that is not the last of the response, and wakes the readers.
func (r *Response) add(data string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chunks = append(r.chunks, data)
	r.size += int64(len(data))
	r.broadcast()
}

// End marks the response as ended. If err is nil, the response is complete. Otherwise
// readers that follow the response get err after the chunks.
func (r *Response) End(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended, r.err = true, err
	r.broadcast()
}

// broadcast wakes all readers that wait for a change of the response. The caller must
// hold r.mu.
func (r *Response) broadcast() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// Follow delivers the response to a sink from its first chunk until the response ends.
// It waits for chunks that are not yet produced. It returns the error with which the
// response ended, nil if the response is complete. If ctx ends first or the sink
// returns an error, Follow returns relay.ErrCallerGone.
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

// deliverEnd delivers the last chunk of a complete response to a sink. If the response
// ended with an error, it returns that error instead. If the sink returns an error, it
// returns relay.ErrCallerGone. It must be called after the response has ended.
func (r *Response) deliverEnd(sink relay.Sink, last string) error {
	if r.err != nil {
		return r.err
	}
	if err := sink.End(last, r.usage); err != nil {
		return relay.ErrCallerGone
	}
	return nil
}

// readFrom returns the chunks from an index on, without the last chunk of the
// response. The last chunk is the result last, which is empty until that chunk is
// produced. The result ended reports whether the response has ended. The channel
// changed is closed at the next change of the response.
func (r *Response) readFrom(index int) (chunks []string, last string, ended bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.chunks[min(max(index, 0), len(r.chunks)):], r.last, r.ended, r.changed
}

// Segment is a part of a response: its chunks from some index on, up to the newest
// one.
type Segment struct {
	Chunks []string    // chunks from the index on, without the last chunk of the response
	Ended  bool        // the response has ended
	Last   string      // last chunk of the response, empty until it is produced
	Usage  price.Usage // usage of the run, set together with Last
	Err    error       // error with which the response ended, nil if it is complete or has not ended
}

// Read returns the segment of the response from the chunk at an index on. If the
// response has not ended and has no chunk at this index yet, Read first waits until
// the response changes or ctx ends. The segment may then still have no chunks.
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

// Size returns the total size of the buffered chunks of the response, in bytes. It is
// 0 after the response was discarded.
func (r *Response) Size() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.size
}

// discard drops the chunks of the response to free their memory. The error of the
// response and the mark that it has ended stay.
func (r *Response) discard() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chunks, r.last, r.size = nil, "", 0
}
