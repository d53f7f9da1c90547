package owner

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"jacinthladder.dev/coord/dedup"
	"jacinthladder.dev/coord/member"
	"jacinthladder.dev/internal/fleet/peers"
	"jacinthladder.dev/internal/fleet/peers/wire"
)

// callTimeout bounds one call to an owner of a request key, a process that stores the
// attempts at the key. An owner that does not respond in time is ignored.
const callTimeout = 300 * time.Millisecond

// Registry is this instance's access to the attempts at request keys. A request key is the
// idempotency key of a caller, together with its client account and service. The registry
// sends each operation to the owners of the key. It also stores the attempts at the keys
// that this instance owns. Create one with New.
type Registry struct {
	local  dedup.Registry // attempts at the keys that this process owns
	table  *member.Table
	client *peers.Client
	logger log.Interface
}

// New returns a registry that chooses the owners of a key among this process and the live
// members of t, and calls them through c.
func New(t *member.Table, c *peers.Client, logger log.Interface) *Registry {
	return &Registry{table: t, client: c, logger: logger}
}

// Process returns the ID of this process.
func (r *Registry) Process() string { return r.table.Self().Process }

// Suspect reports whether a process is suspected of having failed, because it is not in
// the membership table or its heartbeats have stopped.
func (r *Registry) Suspect(process string) bool { return r.table.Suspect(process, time.Now()) }

// owners returns the IDs of the processes that own a request key. It chooses them among
// this process and the live members that this process knows now, without other members
// that are leaving.
func (r *Registry) owners(key string) []string {
	self := r.table.Self()
	members := []dedup.Candidate{{Process: self.Process, Zone: self.Zone}}
	for _, m := range r.table.Live(time.Now()) {
		if !m.Leaving {
			members = append(members, dedup.Candidate{Process: m.Process, Zone: m.Zone})
		}
	}
	return dedup.Owners(key, members)
}

// Register stores the attempt a for ttl at the owners of its key, one after another. If an
// owner already has another attempt at the key, Register stops there and returns that
// attempt. Otherwise it returns a. Owners that can't be reached are logged and ignored.
func (r *Registry) Register(ctx context.Context, a dedup.Attempt, ttl time.Duration) dedup.Attempt {
	for _, owner := range r.owners(a.Key) {
		resp, err := r.call(ctx, owner, &wire.ClaimNote{Op: wire.Op_REGISTER, Attempt: toWire(a), Keep: ttl.Milliseconds()})
		if err != nil {
			r.logger.WithError(err).Warnf("claim: could not reach an owner of the idempotency key of request %s, the request continues without this owner", a.Request)
			continue
		}
		if registered := fromWire(resp.GetFirst()); registered.Request != a.Request || registered.Process != a.Process {
			return registered
		}
	}
	return a
}

// SetEndpoint records at the owners of a's key that the attempt a runs at the endpoint
// a.Endpoint.
func (r *Registry) SetEndpoint(ctx context.Context, a dedup.Attempt) {
	r.callAll(ctx, a.Key, &wire.ClaimNote{Op: wire.Op_PUT, Attempt: toWire(a)})
}

// Remove deletes an attempt that did not run from the owners of its key, so that a retry
// can register another attempt.
func (r *Registry) Remove(ctx context.Context, a dedup.Attempt) {
	r.callAll(ctx, a.Key, &wire.ClaimNote{Op: wire.Op_DROP, Attempt: toWire(a)})
}

// TakeOver takes the attempt a over from its process a.Process, so that it belongs to
// this process. It returns false if any owner of the key reports that the attempt has
// ended or belongs to a third process, and true if the attempt already belongs to this
// process. The owners of a key change with the known members. So TakeOver first registers
// the attempt, for ttl, at owners that do not have it yet.
func (r *Registry) TakeOver(ctx context.Context, a dedup.Attempt, ttl time.Duration) bool {
	if registered := r.Register(ctx, a, ttl); registered.Process != a.Process {
		return registered.Process == r.Process()
	}
	return r.firstRefusal(ctx, a.Key, &wire.ClaimNote{Op: wire.Op_TAKE, Attempt: toWire(a), To: r.Process()}) == nil
}

// End marks an attempt as ended at the owners of its key. It reports whether this process
// may bill the attempt. The result is true unless an owner has an attempt of another
// process at the key, which End returns: that process has taken the attempt over, or made
// an attempt of its own.
func (r *Registry) End(ctx context.Context, a dedup.Attempt) (dedup.Attempt, bool) {
	refusal := r.firstRefusal(ctx, a.Key, &wire.ClaimNote{Op: wire.Op_END, Attempt: toWire(a)})
	if refusal != nil {
		return fromWire(refusal.GetFirst()), false
	}
	return dedup.Attempt{}, true
}

// firstRefusal sends the operation n to every owner of a key and returns a response that
// refuses it, nil if none does.
func (r *Registry) firstRefusal(ctx context.Context, key string, n *wire.ClaimNote) *wire.ClaimAnswer {
	for _, resp := range r.callAll(ctx, key, n) {
		if !resp.GetOk() {
			return resp
		}
	}
	return nil
}

// callAll sends the operation n to every owner of a key, concurrently, and returns the
// responses. Owners that can't be reached are ignored, and the error of one of them is
// logged.
func (r *Registry) callAll(ctx context.Context, key string, n *wire.ClaimNote) []*wire.ClaimAnswer {
	var g errgroup.Group
	owners := r.owners(key)
	responses := make([]*wire.ClaimAnswer, len(owners))
	for i, owner := range owners {
		g.Go(func() error {
			resp, err := r.call(ctx, owner, &wire.ClaimNote{Op: n.Op, Attempt: n.Attempt, To: n.To})
			if err == nil {
				responses[i] = resp
			}
			return err
		})
	}
	if err := g.Wait(); err != nil {
		r.logger.WithError(err).Warnf("claim: could not reach an owner of the idempotency key of request %s, the request continues without this owner", n.GetAttempt().GetRequest())
	}
	return slices.DeleteFunc(responses, func(resp *wire.ClaimAnswer) bool { return resp == nil })
}

// call applies the operation n at one owner of its key. If this process is the owner, call
// applies the operation locally. Otherwise it calls the owner.
func (r *Registry) call(ctx context.Context, owner string, n *wire.ClaimNote) (*wire.ClaimAnswer, error) {
	if owner == r.Process() {
		return r.Handle(n), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.client.Claim(ctx, owner, n)
}

// Handle applies an operation that this process or a peer sends to the attempt at a key
// that this process owns. The field Ok of the result reports whether a takeover or an end
// was accepted; the field First is the attempt that is stored after a registration, or the
// one because of which an end was not accepted.
func (r *Registry) Handle(n *wire.ClaimNote) *wire.ClaimAnswer {
	a := fromWire(n.GetAttempt())
	resp := &wire.ClaimAnswer{Ok: true}
	switch n.GetOp() {
	case wire.Op_REGISTER:
		resp.First = toWire(r.local.Register(a, time.Now(), time.Duration(n.GetKeep())*time.Millisecond))
	case wire.Op_PUT:
		r.local.SetEndpoint(a.Key, a.Process, a.Endpoint)
	case wire.Op_TAKE:
		resp.Ok = r.local.TakeOver(a.Key, a.Process, n.GetTo())
	case wire.Op_END:
		resp.Ok = r.local.End(a.Key, a.Process)
		if first, ok := r.local.Find(a.Key, time.Now()); ok && !resp.Ok {
			resp.First = toWire(first)
		}
	case wire.Op_DROP:
		r.local.Remove(a.Key, a.Process)
	}
	return resp
}

// Len returns the number of attempts that this process stores as an owner of their keys.
func (r *Registry) Len() int { return r.local.Len() }

func toWire(a dedup.Attempt) *wire.AttemptNote {
	return &wire.AttemptNote{Key: a.Key, Digest: a.Digest, Request: a.Request, Process: a.Process, Place: a.Endpoint}
}

func fromWire(n *wire.AttemptNote) dedup.Attempt {
	return dedup.Attempt{Key: n.GetKey(), Digest: n.GetDigest(), Request: n.GetRequest(), Process: n.GetProcess(), Endpoint: n.GetPlace()}
}
