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

// ClaimKind is the object kind of claims.
const ClaimKind = "claim"

// State is the known progress of a claimed call.
type State string

const (
	// Begun means that the call may have run.
	Begun State = "begun"
	// Done means that the call has run. The claim has the response unless it is
	// larger than maxResponse.
	Done State = "done"
)

const (
	// claimTimeout is how long a claim is retried while the platform is unavailable.
	claimTimeout = 2 * time.Second
	// maxResponse is the largest response that a claim records, in bytes.
	maxResponse = 64 << 10
	// maxAbandoned is the maximum number of abandoned requests that are remembered.
	maxAbandoned = 100_000
)

// ErrUnavailable means that the platform could not be reached. The request did not
// claim the call and must not send it.
var ErrUnavailable = errors.New("once: the platform is unavailable")

// Claim is the stored value of a claim object.
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
	abandoned map[string]bool  // requests that will not be sent
	versions  map[string]int64 // versions of this process's claims, by request
}

// New returns a claimer for a process.
func New(store *object.Store, process string) *Claimer {
	return &Claimer{store: store, process: process, abandoned: map[string]bool{}, versions: map[string]int64{}}
}

// objectName returns the name of the object that claims a key.
func objectName(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Claim claims a key for a request and returns the claim in force. If that is the
// request's own claim, the call may be sent once. Otherwise it is another request's.
// The function isAbandoned reports whether the request of another claim is known to
// be abandoned; such a claim is replaced if its state is Begun. After ErrUnavailable
// the call must not be sent.
func (c *Claimer) Claim(ctx context.Context, key, request string, digest uint64, isAbandoned func(c Claim) bool) (Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	own := Claim{Request: request, Digest: digest, Process: c.process, State: Begun}
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = 20 * time.Millisecond
	baseVersion := int64(0)
	for {
		current, version, err := c.tryClaim(ctx, key, own, baseVersion)
		switch {
		case err == nil && current.Request == request:
			c.mu.Lock()
			c.versions[request] = version
			c.mu.Unlock()
			return current, nil
		case err == nil && current.State == Begun && (c.Abandoned(current.Request) || isAbandoned(current)):
			baseVersion = version
			continue
		case err == nil:
			return current, nil
		}
		select {
		case <-ctx.Done():
			c.abandon(request)
			return Claim{}, errors.Mark(err, ErrUnavailable)
		case <-time.After(delays.NextBackOff()):
		}
	}
}

// tryClaim tries once to write a claim over the version baseVersion. It returns the
// claim in force afterwards and its version.
func (c *Claimer) tryClaim(ctx context.Context, key string, own Claim, baseVersion int64) (Claim, int64, error) {
	value, err := json.Marshal(own)
	if err != nil {
		return Claim{}, 0, errors.Wrap(err, "once: encode the claim")
	}
	version, err := c.store.Put(ctx, ClaimKind, objectName(key), baseVersion, value)
	if err == nil {
		return own, version, nil
	}
	if !errors.Is(err, object.ErrConflict) && !errors.Is(err, object.ErrUnknownOutcome) {
		return Claim{}, 0, err
	}
	o, readErr := c.store.Get(ctx, ClaimKind, objectName(key))
	if readErr != nil {
		return Claim{}, 0, errors.CombineErrors(err, readErr)
	}
	var current Claim
	if err := json.Unmarshal(o.Value(), &current); err != nil {
		return Claim{}, 0, errors.Wrap(err, "once: decode the claim")
	}
	return current, o.Version(), nil
}

// abandon records that a request will not be sent, in case its claim still takes
// effect.
func (c *Claimer) abandon(request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.abandoned) < maxAbandoned {
		c.abandoned[request] = true
	}
}

// Abandoned reports whether this process abandoned a request before it was sent.
func (c *Claimer) Abandoned(request string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.abandoned[request]
}

// Release abandons a claimed request that was not and will not be sent, so that a
// retry can claim the key.
func (c *Claimer) Release(request string) {
	c.mu.Lock()
	delete(c.versions, request)
	c.mu.Unlock()
	c.abandon(request)
}

// Finish records the response of a claimed call if possible. If it isn't recorded, a
// retry is told that the call may have run, which is correct. A response larger
// than maxResponse is left out.
func (c *Claimer) Finish(ctx context.Context, key, request string, digest uint64, response string) error {
	c.mu.Lock()
	version, ok := c.versions[request]
	delete(c.versions, request)
	c.mu.Unlock()
	if !ok {
		return nil
	}
	if len(response) > maxResponse {
		response = ""
	}
	value, err := json.Marshal(Claim{Request: request, Digest: digest, Process: c.process, State: Done, Response: response})
	if err != nil {
		return errors.Wrap(err, "once: encode the claim")
	}
	_, err = c.store.Put(ctx, ClaimKind, objectName(key), version, value)
	return err
}
