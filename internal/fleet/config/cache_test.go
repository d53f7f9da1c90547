package config

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/plat/object"
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

// TestKeyStaysRevokedWhenThePlatformLosesTheRevocation makes the platform return to a copy
// in which a revoked key is still valid. The cache must keep the newer account, and apply
// the operator's next change.
func TestKeyStaysRevokedWhenThePlatformLosesTheRevocation(t *testing.T) {
	p := store.New()
	c := NewCache(p.Store(""), &log.Logger{Handler: discard.New()})
	put := func(version int64, keys string) int64 {
		version, err := p.Store("").Put(t.Context(), AccountKind, "field", version, []byte(`{"name": "field", "keys": [`+keys+`]}`))
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Load(t.Context()); err != nil {
			t.Fatal(err)
		}
		return version
	}
	inForce := func() int64 {
		objects, _ := c.Since(0)
		return objects[0].Version()
	}
	first := put(0, `"a"`)
	older := p.Copy()
	revoked := put(first, ``)
	p.Restore(older)
	if err := c.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := inForce(); got != revoked {
		t.Errorf("version %d of the account is in force after the platform lost version %d, want the lost one", got, revoked)
	}
	if _, err := p.Store("").Put(t.Context(), AccountKind, "field", revoked, nil); !errors.Is(err, object.ErrConflict) {
		t.Errorf("write of an account whose lost version is expected: got error %v, want ErrConflict", err)
	}
	if repeated := put(first, `"b"`); repeated <= revoked || inForce() != repeated {
		t.Errorf("the operator's change got version %d, and version %d is in force; want a version above the lost %d in force", repeated, inForce(), revoked)
	}
}
