package conns

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// pathTest is a pool whose two ways to endpoints fail, hang or take a while.
type pathTest struct {
	Pool
	ownDelay, relayDelay atomic.Int64 // in nanoseconds, negative to fail
	noPeer               atomic.Bool  // no peer has a path
	owns, relays         atomic.Int64 // connections opened
}

func newPathTest() *pathTest {
	p := &pathTest{}
	p.Dial = func(ctx context.Context, _ string) (net.Conn, error) { return p.open(ctx, &p.ownDelay, &p.owns) }
	p.Relay = func(ctx context.Context, _ string) (net.Conn, error) {
		if p.noPeer.Load() {
			return nil, ErrNoPath
		}
		return p.open(ctx, &p.relayDelay, &p.relays)
	}
	return p
}

func (p *pathTest) open(ctx context.Context, delay, opened *atomic.Int64) (net.Conn, error) {
	d := time.Duration(delay.Load())
	if d < 0 {
		return nil, errors.New("refused")
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	opened.Add(1)
	client, server := net.Pipe()
	server.Close()
	return client, nil
}

// get opens a connection to an address and returns whether it is relayed and how long it took.
func (p *pathTest) get(t *testing.T, address string) (relayed bool, took time.Duration) {
	t.Helper()
	began := time.Now()
	c, err := p.Get(context.Background(), address, true)
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	return c.Relayed(), time.Since(began)
}

const hang = time.Hour

func TestEndpointOutOfReachIsReachedByAPeer(t *testing.T) {
	for _, own := range []time.Duration{hang, -1} {
		p := newPathTest()
		p.ownDelay.Store(int64(own))
		for range 3 {
			if relayed, took := p.get(t, "a"); !relayed || took > 10*minHeadStart {
				t.Errorf("own path %s: relayed %t after %s, want a relayed connection soon", own, relayed, took)
			}
		}
		p.ownDelay.Store(0)
		time.Sleep(pathRetry + 10*time.Millisecond)
		p.get(t, "a") // tries the own path again
		if relayed, _ := p.get(t, "a"); relayed {
			t.Errorf("own path %s: the endpoint is reached by a peer still, after the own path is back", own)
		}
	}
}

func TestFarEndpointIsNotReachedByAPeer(t *testing.T) {
	p := newPathTest()
	p.ownDelay.Store(int64(3 * minHeadStart))
	p.relayDelay.Store(int64(4 * minHeadStart))
	p.get(t, "a")
	asked := p.relays.Load()
	for range 3 {
		if relayed, _ := p.get(t, "a"); relayed {
			t.Error("a connection to a far endpoint is relayed")
		}
	}
	if got := p.relays.Load(); got != asked {
		t.Errorf("peers opened %d connections to an endpoint that is only far, want none", got-asked)
	}
}

func TestInstanceThatNothingHelpsFailsAtOnce(t *testing.T) {
	p := newPathTest()
	p.ownDelay.Store(int64(hang))
	p.noPeer.Store(true)
	for _, address := range []string{"a", "b", "c"} {
		if _, err := p.Get(context.Background(), address, true); err == nil {
			t.Fatal("got a connection, want none")
		}
	}
	began := time.Now()
	if _, err := p.Get(context.Background(), "d", true); !errors.Is(err, ErrNoPath) || time.Since(began) > minHeadStart {
		t.Errorf("got error %v after %s, want ErrNoPath at once", err, time.Since(began))
	}
	p.ownDelay.Store(0)
	time.Sleep(noPathTime + 10*time.Millisecond)
	if relayed, _ := p.get(t, "d"); relayed {
		t.Error("the connection is relayed after the cut has ended")
	}
	p.get(t, "a")
}

func TestDeadEndpointsAreNoCut(t *testing.T) {
	p := newPathTest()
	p.noPeer.Store(true)
	p.get(t, "sound")
	p.ownDelay.Store(-1)
	for _, address := range []string{"a", "b", "c"} {
		if _, err := p.Get(context.Background(), address, true); err == nil {
			t.Fatal("got a connection, want none")
		}
	}
	p.ownDelay.Store(0)
	p.noteHeard("sound") // a response has come
	if p.paths.cutOff() {
		t.Error("the instance counts as cut off while it hears from an endpoint")
	}
	p.get(t, "d")
}
