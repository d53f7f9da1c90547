package once

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/plat/object"
)

// ClaimKind is the kind of claims on the platform.
const ClaimKind = "claim"

// State is how far a claimed call is known to have come.
type State string

const (
	// Begun calls may have run.
	Begun State = "begun"
	// Done calls have run, and the claim has the answer if it is not too large.
	Done State = "done"
)

const (
	// claimTimeout is how long a claim is tried while the platform is away.
	claimTimeout = 2 * time.Second
	// maxResponse is the largest answer that is noted, in bytes.
	maxResponse = 64 << 10
	// maxAbandoned is the most requests that are remembered as given up.
	maxAbandoned = 100_000
)

// ErrUnavailable means that the platform could not be asked. The call was not claimed
// by this request, and must not be sent.
var ErrUnavailable = errors.New("once: the platform is out of reach")

// Claim is a claim as the platform keeps it.
type Claim struct {
	Request  string `json:"request"`
	Digest   uint64 `json:"digest"`
	Process  string `json:"process"`
	State    State  `json:"state"`
	Response string `json:"answer,omitempty"`
}

// Claimer makes claims for one process. Make one with New.
type Claimer struct {
	store   *object.Store
	process string

	mu        sync.Mutex
	abandoned map[string]bool // requests given up before their claim was sure
	versions  map[string]int64
}

// New returns a keeper that claims for a process.
func New(store *object.Store, process string) *Claimer {
	return &Claimer{store: store, process: process, abandoned: map[string]bool{}, versions: map[string]int64{}}
}

// name returns the object that claims a key.
func name(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Claim claims a key for a request. It returns the claim that holds: the
// request's own, and then the call may be sent once, or another's. Given says
// whether another's request is known to have been given up. ErrAway means that
// nothing may be sent.
func (k *Claimer) Claim(ctx context.Context, key, request string, digest uint64, given func(c Claim) bool) (Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	own := Claim{Request: request, Digest: digest, Process: k.process, State: Begun}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = 20 * time.Millisecond
	base := int64(0)
	for {
		held, version, err := k.try(ctx, key, own, base)
		switch {
		case err == nil && held.Request == request:
			k.mu.Lock()
			k.versions[request] = version
			k.mu.Unlock()
			return held, nil
		case err == nil && held.State == Begun && (k.Abandoned(held.Request) || given(held)):
			base = version
			continue
		case err == nil:
			return held, nil
		}
		select {
		case <-ctx.Done():
			k.abandon(request)
			return Claim{}, errors.Mark(err, ErrUnavailable)
		case <-time.After(pause.NextBackOff()):
		}
	}
}

// try writes the claim once, over the version base, and returns the one that
// holds then.
func (k *Claimer) try(ctx context.Context, key string, own Claim, base int64) (Claim, int64, error) {
	value, err := json.Marshal(own)
	if err != nil {
		return Claim{}, 0, errors.Wrap(err, "once")
	}
	version, err := k.store.Put(ctx, ClaimKind, name(key), base, value)
	if err == nil {
		return own, version, nil
	}
	if !errors.Is(err, object.ErrConflict) && !errors.Is(err, object.ErrUnknownOutcome) {
		return Claim{}, 0, err
	}
	o, readErr := k.store.Get(ctx, ClaimKind, name(key))
	if readErr != nil {
		return Claim{}, 0, errors.CombineErrors(err, readErr)
	}
	var held Claim
	if err := json.Unmarshal(o.Value(), &held); err != nil {
		return Claim{}, 0, errors.Wrap(err, "once")
	}
	return held, o.Version(), nil
}

// abandon remembers that a request will never be sent, should its claim still
// take effect.
func (k *Claimer) abandon(request string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.abandoned) < maxAbandoned {
		k.abandoned[request] = true
	}
}

// Abandoned reports whether this process gave a request up before it was sent.
func (k *Claimer) Abandoned(request string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.abandoned[request]
}

// Release gives up a claimed request that was not sent and never will be, so
// that a retry may claim the key.
func (k *Claimer) Release(request string) {
	k.mu.Lock()
	delete(k.versions, request)
	k.mu.Unlock()
	k.abandon(request)
}

// Finish notes the answer of a claimed call, as far as it goes: a retry that
// finds no answer is told that the call may have run, which is true.
func (k *Claimer) Finish(ctx context.Context, key, request string, digest uint64, answer string) error {
	k.mu.Lock()
	version, ok := k.versions[request]
	delete(k.versions, request)
	k.mu.Unlock()
	if !ok {
		return nil
	}
	if len(answer) > maxResponse {
		answer = ""
	}
	value, err := json.Marshal(Claim{Request: request, Digest: digest, Process: k.process, State: Done, Response: answer})
	if err != nil {
		return errors.Wrap(err, "once")
	}
	_, err = k.store.Put(ctx, ClaimKind, name(key), version, value)
	return err
}
