package peers

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"jacinthladder.dev/coord/member"
	"jacinthladder.dev/internal/fleet/peers/wire"
	"jacinthladder.dev/internal/stand/canned"
)

func TestReplyCutByItsConnectionIsNotTakenForAMarkOfZero(t *testing.T) {
	reply, err := proto.Marshal(&wire.SealAnswer{Limit: 300})
	if err != nil {
		t.Fatal(err)
	}
	length := fmt.Sprintf("Content-Length: %d\r\n", len(reply))
	for _, tc := range []struct {
		name   string
		header string
		sent   int // bytes of the reply that are sent before the connection closes
		want   int64
		fails  bool
	}{
		{name: "whole with a length", header: length, sent: len(reply), want: 300},
		{name: "cut with a length", header: length, fails: true},
		{name: "cut without a length", fails: true},
		{name: "whole without a length", sent: len(reply), fails: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestClient(t, "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n"+tc.header+"\r\n"+string(reply[:tc.sent]))
			limit, err := c.seal(t.Context(), "witness/1", "share")
			if (err != nil) != tc.fails || limit != tc.want {
				t.Errorf("seal returned %d, %v, want %d and an error: %t", limit, err, tc.want, tc.fails)
			}
		})
	}
}

// newTestClient returns a client that knows one process, witness/1. That process sends the
// given bytes as its response to the first request of each connection, and closes the
// connection.
func newTestClient(t *testing.T, response string) *Client {
	table := member.NewTable(member.Member{Process: "self/1"}, time.Second)
	table.Merge(time.Now(), member.Member{Process: "witness/1", Address: canned.Serve(t, response), Heartbeat: 1})
	c := NewClient(table, nil)
	t.Cleanup(c.Close)
	return c
}
