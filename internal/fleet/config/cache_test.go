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

// TestChangeOfOneKindCompletesPromptly writes an account while the watch of the service
// documents waits for a change. The cache must then fetch the service documents at once,
// because peers learn only of versions that are complete for all kinds. Without that
// fetch, an instance that does not watch the platform would get the account only when
// the watch of the service documents ends.
func TestChangeOfOneKindCompletesPromptly(t *testing.T) {
	p := store.New()
	c := NewCache(p.Store("ikeja"), &log.Logger{Handler: discard.New()})
	ctx, stop := context.WithCancel(t.Context())
	var g sync.WaitGroup
	defer func() { stop(); g.Wait() }()
	g.Go(func() { c.Run(ctx, func() bool { return true }) })
	for p.Counts().Watches < int64(len(kinds)) {
		time.Sleep(time.Millisecond)
	}
	version, err := p.Store("ikeja").Put(ctx, AccountKind, "field-north", 0, []byte(`{"key": "field-north-key", "budget": "main"}`))
	if err != nil {
		t.Fatal(err)
	}
	const limit = 2 * time.Second // 2 of the 6 s within which the whole fleet must apply a change
	for start := time.Now(); c.CompleteVersion() < version; time.Sleep(time.Millisecond) {
		if time.Since(start) > limit {
			t.Fatalf("CompleteVersion returned %d when %s had passed since the write of an account, want at least %d, the version of that write", c.CompleteVersion(), limit, version)
		}
	}
}
