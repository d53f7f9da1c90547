package object

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Instrument returns a store that calls onCall after each call to s, with the
// call's error.
func Instrument(s *Store, onCall func(verb, kind string, err error)) *Store {
	return &Store{
		Get: func(ctx context.Context, kind, name string) (Object, error) {
			o, err := s.Get(ctx, kind, name)
			onCall("get", kind, err)
			return o, err
		},
		Put: func(ctx context.Context, kind, name string, version int64, value []byte) (int64, error) {
			v, err := s.Put(ctx, kind, name, version, value)
			onCall("put", kind, err)
			return v, err
		},
		Watch: func(ctx context.Context, kind string, after int64, wait time.Duration) (Page, error) {
			p, err := s.Watch(ctx, kind, after, wait)
			onCall("watch", kind, err)
			return p, err
		},
	}
}

// Outcome returns a metric label for the outcome of a call.
func Outcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrConflict):
		return "conflict"
	case errors.Is(err, ErrNotFound):
		return "missing"
	case errors.Is(err, ErrRefused):
		return "refused"
	case errors.Is(err, ErrExpired):
		return "expired"
	default:
		return "unknown"
	}
}
