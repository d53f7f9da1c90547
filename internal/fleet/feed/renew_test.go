package feed

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"jacinthladder.dev/internal/plat/object"
)

// Guards against an instance that has stood still and goes on with what it knew: Renew makes a call of
// its own at once, during a watch, in the pause between two calls, and as a follower.
func TestRenewMakesTheFeedCallAtOnce(t *testing.T) {
	for name, role := range map[string]Role{"alone": Alone, "follower": Follower} {
		t.Run(name, func(t *testing.T) {
			calls := make(chan time.Duration, 100)
			f := New("kind", &object.Store{Watch: func(ctx context.Context, _ string, after int64, wait time.Duration) (object.Page, error) {
				calls <- wait
				select {
				case <-ctx.Done():
					return object.Page{}, ctx.Err()
				case <-time.After(wait):
				}
				return object.NewPage(nil, max(after, 1)), nil
			}}, &log.Logger{Handler: discard.New()})
			f.Apply = func(string, object.Object) {}
			f.Role = func() Role { return role }
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { defer close(done); f.Run(ctx) }()
			defer func() { cancel(); <-done }()
			<-calls
			for _, pause := range []time.Duration{minBatchDelay / 4, 2 * minBatchDelay, 20 * time.Millisecond} {
				time.Sleep(pause)
				for len(calls) > 0 {
					<-calls
				}
				began := time.Now()
				f.Renew()
				select {
				case wait := <-calls:
					if wait != 0 {
						t.Errorf("the call after Renew waits %s for updates, want none", wait)
					}
				case <-time.After(minBatchDelay / 2):
					t.Fatal("no call followed Renew at once")
				}
				time.Sleep(10 * time.Millisecond)
				if !f.AskedAt().After(began) {
					t.Error("the response after Renew is to a call that began before")
				}
			}
		})
	}
}
