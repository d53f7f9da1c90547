package claims

import (
	"context"
	"sync"

	"jacinthladder.dev/internal/entry/price"
	"jacinthladder.dev/internal/entry/relay"
)

// Answer is an answer that is being made and may be followed by many. The zero
// value is empty and not ended.
type Answer struct {
	mu      sync.Mutex
	pieces  []string
	last    string
	usage   price.Usage
	size    int64
	ended   bool
	err     error
	changed chan struct{}
}

// Sink returns a sink that adds to the answer.
func (a *Answer) Sink() relay.Sink {
	return relay.Sink{
		Piece: func(data string, _ bool) error {
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

func (a *Answer) add(data string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pieces = append(a.pieces, data)
	a.size += int64(len(data))
	a.announce()
}

// End closes the answer, whole with a nil error.
func (a *Answer) End(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended, a.err = true, err
	a.announce()
}

func (a *Answer) announce() {
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}

// Follow hands the answer to a sink from the start, waiting for what is yet to
// be made. It returns the error that the answer ended with.
func (a *Answer) Follow(ctx context.Context, sink relay.Sink) error {
	for at := 0; ; {
		fresh, last, ended, next := a.after(at)
		for i, p := range fresh {
			if err := sink.Piece(p, i < len(fresh)-1); err != nil {
				return relay.ErrGone
			}
		}
		at += len(fresh)
		if ended {
			return a.finish(sink, last)
		}
		select {
		case <-next:
		case <-ctx.Done():
			return relay.ErrGone
		}
	}
}

func (a *Answer) finish(sink relay.Sink, last string) error {
	if a.err != nil {
		return a.err
	}
	if err := sink.End(last, a.usage); err != nil {
		return relay.ErrGone
	}
	return nil
}

// after returns the pieces from an index on. If there are none and more may
// come, next is closed at the next change.
func (a *Answer) after(at int) (fresh []string, last string, ended bool, next <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
	return a.pieces[min(max(at, 0), len(a.pieces)):], a.last, a.ended, a.changed
}

// Part is what there is of an answer from some piece on.
type Part struct {
	Pieces []string
	Ended  bool
	Last   string
	Usage  price.Usage
	Err    error // that the answer ended with
}

// Part returns what there is from the piece at on. If there is nothing new it
// waits for it until ctx ends.
func (a *Answer) Part(ctx context.Context, at int) Part {
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
	return Part{Pieces: fresh, Ended: ended, Last: last, Usage: a.usage, Err: a.err}
}

// Size returns the bytes that the answer takes up.
func (a *Answer) Size() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.size
}

// drop frees the answer's memory.
func (a *Answer) drop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pieces, a.last, a.size = nil, "", 0
}
