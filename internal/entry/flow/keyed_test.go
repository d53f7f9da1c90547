package flow

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/dedup"
	"jacinthladder.dev/coord/member"
	"jacinthladder.dev/internal/conf/spec"
	"jacinthladder.dev/internal/entry/call"
	"jacinthladder.dev/internal/entry/replay"
	"jacinthladder.dev/internal/fleet/owner"
	"jacinthladder.dev/internal/fleet/peers"
	"jacinthladder.dev/internal/fleet/peers/wire"
)

func TestCallIsBilledIfTheInstanceOfAnEarlierAttemptIsGone(t *testing.T) {
	for _, tc := range []struct {
		name   string
		follow error // with which the instance of the earlier attempt is polled
		want   bool
	}{
		{name: "it still makes the attempt", want: false},
		{name: "its process is not known", follow: peers.ErrUnknownProcess, want: true},
		{name: "it refuses connections", follow: errors.New("connection refused"), want: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			service, err := spec.Parse("s", []byte(`{"name":"s","kind":"model","models":["m"],"budgets":{"a":["b"]},"endpoints":[{"name":"e","zone":"z","url":"http://127.0.0.1:1","slots":1}]}`), 1)
			if err != nil {
				t.Fatal(err)
			}
			logger := &log.Logger{Handler: discard.New()}
			table := member.NewTable(member.Member{Process: "entry-1/1", Zone: "ikeja", Address: "127.0.0.1:1"}, time.Second)
			p := &Pipeline{
				Registry: owner.New(table, peers.NewClient(table, nil), logger), Logger: logger,
				FollowPeer: func(context.Context, *wire.FollowAsk) (*wire.FollowAnswer, error) {
					return &wire.FollowAnswer{}, tc.follow
				},
			}
			c := call.NewChat("r-1", "a", "key", 1, service, call.Chat{Model: "m"})
			// This instance did not find the earlier attempt when it began its own, because
			// it became an owner of the key only afterwards.
			earlier := dedup.Attempt{Key: replay.ScopedKey(c), Digest: 1, Request: "r-0", Process: "entry-0/1"}
			p.Registry.Register(t.Context(), earlier, time.Minute)
			if got := p.endAttempt(t.Context(), c); got != tc.want {
				t.Errorf("endAttempt returned %t, want %t", got, tc.want)
			}
		})
	}
}
