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

// ClaimKind is the kind of the platform objects that hold claims.
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
	// claimTimeout is how long Claim retries while the platform is unavailable.
	claimTimeout = 2 * time.Second
	// maxResponse is the size of the largest response that a claim records, in bytes. A
	// claim for a larger response says only that the call has run.
	maxResponse = 64 << 10
	// maxAbandoned is the maximum number of abandoned requests that a process remembers.
	// Claims of further abandoned requests are not replaced.
	maxAbandoned = 100_000
)

// ErrUnavailable means that Claim could not confirm a claim in time, because the
// platform was unavailable. The request must not send the call.
var ErrUnavailable = errors.New("once: the platform is unavailable")

// Claim is the stored value of a claim object.
type Claim struct {
	Request  string `json:"request"`          // ID of the request that made the claim
	Digest   uint64 `json:"digest"`           // hash of the call, to recognize a reuse of the key for another call
	Process  string `json:"process"`          // ID of the process that made the claim
	State    State  `json:"state"`            // progress of the call
	Response string `json:"answer,omitempty"` // encoded response, if the state is Done and the response is not too large
}

// Claimer makes claims for the requests of one process. A claim reserves a request key for
// one request, which alone may send the call. Create a Claimer with New.
type Claimer struct {
	store   *object.Store
	process string

	mu        sync.Mutex
	abandoned map[string]bool  // IDs of requests that will not be sent
	versions  map[string]int64 // object versions of this process's claims, by request ID
}

// New returns a claimer that stores its claims in store, under the given process ID.
func New(store *object.Store, process string) *Claimer {
	return &Claimer{store: store, process: process, abandoned: map[string]bool{}, versions: map[string]int64{}}
}

// objectName returns the name of the claim object of a request key: the SHA-256 hash of
// the key in hex.
func objectName(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Claim claims a request key for a request and returns the claim that is stored
// afterwards. A request key is the idempotency key of a caller, together with its client
// account and service. If the returned claim names the request, the request may send the
// call once. Otherwise another request has claimed the key, and the call must not be
// sent.
//
// The digest is a hash of the call. The function isAbandoned reports whether the
// request of another claim is known to have been abandoned before it was sent. Claim
// replaces such a claim if its state is Begun.
//
// Claim retries errors of the platform for claimTimeout and then fails with
// ErrUnavailable. After that the call must not be sent.
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

// tryClaim tries once to write the claim own. The write succeeds only if the stored
// claim of the key still has the version baseVersion; 0 means that there is none.
// tryClaim returns the claim that is stored afterwards and its version.
func (c *Claimer) tryClaim(ctx context.Context, key string, own Claim, baseVersion int64) (Claim, int64, error) {
	value, err := json.Marshal(own)
	if err != nil {
		return Claim{}, 0, errors.Wrap(err, "once: encode a new claim")
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
		return Claim{}, 0, errors.Wrap(err, "once: decode the stored claim")
	}
	return current, o.Version(), nil
}

// abandon records that a request will not be sent, so that another request can replace
// its claim. Claim calls it also when it fails, because its last write may still take
// effect. Requests beyond maxAbandoned are not recorded.
func (c *Claimer) abandon(request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.abandoned) < maxAbandoned {
		c.abandoned[request] = true
	}
}

// Abandoned reports whether this process abandoned the request with the given ID, which was
// therefore never sent.
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

// Finish records in the claim of a request that the call has run, with the response of
// the call unless that is larger than maxResponse. It does nothing if this process has no
// claim for the request. Finish does not retry: if its write fails, a retry of the
// request is told that the call may have run, which is correct.
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
		return errors.Wrap(err, "once: encode the claim of a finished call")
	}
	_, err = c.store.Put(ctx, ClaimKind, objectName(key), version, value)
	return err
}
