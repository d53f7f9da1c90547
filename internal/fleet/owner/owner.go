package owner

import (
	"context"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"jacinthladder.dev/coord/dedup"
	"jacinthladder.dev/coord/member"
	"jacinthladder.dev/internal/fleet/peers"
	"jacinthladder.dev/internal/fleet/peers/wire"
)

// callTimeout bounds one call to an owner. An owner that does not respond in time is
// ignored.
const callTimeout = 300 * time.Millisecond

// Registry sends each operation to the owners of a key and handles the operations
// that other members send to this one. Make one with New.
type Registry struct {
	local  dedup.Registry
	table  *member.Table
	client *peers.Client
	logger log.Interface
}

// New returns a registry whose owners are chosen among the live members of t.
func New(t *member.Table, c *peers.Client, logger log.Interface) *Registry {
	return &Registry{table: t, client: c, logger: logger}
}

// Process returns the ID of this process.
func (r *Registry) Process() string { return r.table.Self().Process }

// Suspect reports whether a process is suspected of having failed.
func (r *Registry) Suspect(process string) bool { return r.table.Suspect(process, time.Now()) }

// owners returns the processes that own a key.
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

// Register stores an attempt for ttl at the owners of its key, one after another. It
// returns the other attempt that an owner already has, or else a. Owners that can't
// be reached are ignored.
func (r *Registry) Register(ctx context.Context, a dedup.Attempt, ttl time.Duration) dedup.Attempt {
	for _, owner := range r.owners(a.Key) {
		resp, err := r.call(ctx, owner, &wire.ClaimNote{Op: wire.Op_REGISTER, Attempt: toWire(a), Keep: ttl.Milliseconds()})
		if err != nil {
			r.logger.WithError(err).Warnf("claim: an owner of the key of request %s cannot be reached", a.Request)
			continue
		}
		if registered := fromWire(resp.GetFirst()); registered.Request != a.Request || registered.Process != a.Process {
			return registered
		}
	}
	return a
}

// SetEndpoint records at the owners the endpoint where an attempt runs.
func (r *Registry) SetEndpoint(ctx context.Context, a dedup.Attempt) {
	r.callAll(ctx, a.Key, &wire.ClaimNote{Op: wire.Op_PUT, Attempt: toWire(a)})
}

// Remove deletes an attempt that did not run from the owners.
func (r *Registry) Remove(ctx context.Context, a dedup.Attempt) {
	r.callAll(ctx, a.Key, &wire.ClaimNote{Op: wire.Op_DROP, Attempt: toWire(a)})
}

// TakeOver takes an attempt over from the process that made it. It returns false if
// any owner reports that the attempt has ended or belongs to another process.
// The owners of a key change with the known members, so the attempt is first
// registered at owners that don't have it yet.
func (r *Registry) TakeOver(ctx context.Context, a dedup.Attempt, ttl time.Duration) bool {
	if registered := r.Register(ctx, a, ttl); registered.Process != a.Process {
		return registered.Process == r.Process()
	}
	return r.callAll(ctx, a.Key, &wire.ClaimNote{Op: wire.Op_TAKE, Attempt: toWire(a), To: r.Process()})
}

// End marks an attempt as ended and reports whether this process may bill it, which
// is so unless an owner reports that another process took it over.
func (r *Registry) End(ctx context.Context, a dedup.Attempt) bool {
	return r.callAll(ctx, a.Key, &wire.ClaimNote{Op: wire.Op_END, Attempt: toWire(a)})
}

// callAll calls every owner and reports whether all owners that responded agreed.
func (r *Registry) callAll(ctx context.Context, key string, n *wire.ClaimNote) bool {
	var g errgroup.Group
	owners := r.owners(key)
	agreed := make([]bool, len(owners))
	for i, owner := range owners {
		g.Go(func() error {
			resp, err := r.call(ctx, owner, &wire.ClaimNote{Op: n.Op, Attempt: n.Attempt, To: n.To})
			agreed[i] = err != nil || resp.GetOk()
			return err
		})
	}
	if err := g.Wait(); err != nil {
		r.logger.WithError(err).Warnf("claim: an owner of the key of request %s cannot be reached", n.GetAttempt().GetRequest())
	}
	for _, ok := range agreed {
		if !ok {
			return false
		}
	}
	return true
}

func (r *Registry) call(ctx context.Context, owner string, n *wire.ClaimNote) (*wire.ClaimAnswer, error) {
	if owner == r.Process() {
		return r.Handle(n), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.client.Claim(ctx, owner, n)
}

// Handle applies an operation to an entry that this process stores as an owner.
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
	case wire.Op_DROP:
		r.local.Remove(a.Key, a.Process)
	}
	return resp
}

// Len returns the number of entries that this process stores as an owner.
func (r *Registry) Len() int { return r.local.Len() }

func toWire(a dedup.Attempt) *wire.AttemptNote {
	return &wire.AttemptNote{Key: a.Key, Digest: a.Digest, Request: a.Request, Process: a.Process, Place: a.Endpoint}
}

func fromWire(n *wire.AttemptNote) dedup.Attempt {
	return dedup.Attempt{Key: n.GetKey(), Digest: n.GetDigest(), Request: n.GetRequest(), Process: n.GetProcess(), Endpoint: n.GetPlace()}
}
