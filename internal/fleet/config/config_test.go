package config

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"jacinthladder.dev/internal/stand/store"
)

// TestChangeOfOneKindIsCompleteAtOnce changes a service while the watch of
// accounts waits. Peers are told of what is complete, so an instance that does
// not watch would hear of the change only when that watch ends.
func TestChangeOfOneKindIsCompleteAtOnce(t *testing.T) {
	p := store.New()
	k := NewCache(p.Store("ikeja"), &log.Logger{Handler: discard.New()})
	ctx, stop := context.WithCancel(t.Context())
	var g sync.WaitGroup
	defer func() { stop(); g.Wait() }()
	g.Go(func() { k.Run(ctx, func() bool { return true }) })
	for p.Counts().Watches < int64(len(kinds)) {
		time.Sleep(time.Millisecond)
	}
	version, err := p.Store("ikeja").Put(ctx, AccountKind, "field-north", 0, []byte(`{"key": "field-north-key", "budget": "main"}`))
	if err != nil {
		t.Fatal(err)
	}
	const within = 2 * time.Second // of the 6 s for the whole fleet
	for began := time.Now(); k.CompleteVersion() < version; time.Sleep(time.Millisecond) {
		if time.Since(began) > within {
			t.Fatalf("complete up to %d after %s, want %d", k.CompleteVersion(), within, version)
		}
	}
}
