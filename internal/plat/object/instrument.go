package object

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Instrument returns a store that passes each call to s. After each call it calls onCall
// with the verb "get", "put" or "watch", the object kind, and the error of the call, nil
// if it succeeded.
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
		Era: s.Era,
	}
}

// Outcome returns the value of a metric label that stands for the error of a call to a
// Store: "ok" for nil, "conflict" for ErrConflict, "missing" for ErrNotFound, "refused" for
// ErrRefused, "expired" for ErrExpired, and "unknown" for ErrUnknownOutcome and any other
// error.
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
