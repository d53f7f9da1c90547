package replay

import (
	"context"
	"sync"

	"jacinthladder.dev/internal/entry/price"
	"jacinthladder.dev/internal/entry/relay"
)

// Response is an answer that is being made and may be followed by many. The zero
// value is empty and not ended.
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

// Sink returns a sink that adds to the answer.
func (a *Response) Sink() relay.Sink {
	return relay.Sink{
		Chunk: func(data string, _ bool) error {
			a.add(data)
			return nil
		},
		End: func(data string, u price.Usage) error {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.last, a.usage = data, u
			a.size += int64(len(data))
			return nil
		},
	}
}

func (a *Response) add(data string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.chunks = append(a.chunks, data)
	a.size += int64(len(data))
	a.announce()
}

// End closes the answer, whole with a nil error.
func (a *Response) End(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended, a.err = true, err
	a.announce()
}

func (a *Response) announce() {
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}

// Follow hands the answer to a sink from the start, waiting for what is yet to
// be made. It returns the error that the answer ended with.
func (a *Response) Follow(ctx context.Context, sink relay.Sink) error {
	for at := 0; ; {
		fresh, last, ended, next := a.after(at)
		for i, p := range fresh {
			if err := sink.Chunk(p, i < len(fresh)-1); err != nil {
				return relay.ErrCallerGone
			}
		}
		at += len(fresh)
		if ended {
			return a.finish(sink, last)
		}
		select {
		case <-next:
		case <-ctx.Done():
			return relay.ErrCallerGone
		}
	}
}

func (a *Response) finish(sink relay.Sink, last string) error {
	if a.err != nil {
		return a.err
	}
	if err := sink.End(last, a.usage); err != nil {
		return relay.ErrCallerGone
	}
	return nil
}

// after returns the pieces from an index on. If there are none and more may
// come, next is closed at the next change.
func (a *Response) after(at int) (fresh []string, last string, ended bool, next <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
	return a.chunks[min(max(at, 0), len(a.chunks)):], a.last, a.ended, a.changed
}

// Segment is what there is of an answer from some piece on.
type Segment struct {
	Chunks []string
	Ended  bool
	Last   string
	Usage  price.Usage
	Err    error // that the answer ended with
}

// Read returns what there is from the piece at on. If there is nothing new it
// waits for it until ctx ends.
func (a *Response) Read(ctx context.Context, at int) Segment {
	fresh, last, ended, next := a.after(at)
	if len(fresh) == 0 && !ended {
		select {
		case <-next:
		case <-ctx.Done():
		}
		fresh, last, ended, _ = a.after(at)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return Segment{Chunks: fresh, Ended: ended, Last: last, Usage: a.usage, Err: a.err}
}

// Size returns the bytes that the answer takes up.
func (a *Response) Size() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.size
}

// drop frees the answer's memory.
func (a *Response) drop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.chunks, a.last, a.size = nil, "", 0
}
