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

// callTimeout bounds one call to an owner. An owner out of reach is done without.
const callTimeout = 300 * time.Millisecond

// Registry reaches the owners of keys. Make one with New.
type Registry struct {
	local  dedup.Registry
	table  *member.Table
	client *peers.Client
	logger log.Interface
}

// New returns the way to the owners among the members of table.
func New(t *member.Table, c *peers.Client, logger log.Interface) *Registry {
	return &Registry{table: t, client: c, logger: logger}
}

// Process returns the own process ID.
func (o *Registry) Process() string { return o.table.Self().Process }

// Suspect reports whether a process has not been heard of late.
func (o *Registry) Suspect(process string) bool { return o.table.Suspect(process, time.Now()) }

// owners returns the processes that own a key.
func (o *Registry) owners(key string) []string {
	self := o.table.Self()
	members := []dedup.Candidate{{Process: self.Process, Zone: self.Zone}}
	for _, m := range o.table.Live(time.Now()) {
		if !m.Leaving {
			members = append(members, dedup.Candidate{Process: m.Process, Zone: m.Zone})
		}
	}
	return dedup.Owners(key, members)
}

// Register enters an attempt with the owners of its key and returns the one
// that counts. Owners that can't be reached have no say.
func (o *Registry) Register(ctx context.Context, a dedup.Attempt, keep time.Duration) dedup.Attempt {
	for _, owner := range o.owners(a.Key) {
		answer, err := o.call(ctx, owner, &wire.ClaimNote{Op: wire.Op_REGISTER, Attempt: toWire(a), Keep: keep.Milliseconds()})
		if err != nil {
			o.logger.WithError(err).Warnf("claim: an owner of request %s is out of reach", a.Request)
			continue
		}
		if first := fromWire(answer.GetFirst()); first.Request != a.Request || first.Process != a.Process {
			return first
		}
	}
	return a
}

// SetEndpoint tells the owners where an attempt runs.
func (o *Registry) SetEndpoint(ctx context.Context, a dedup.Attempt) {
	o.callAll(ctx, a.Key, &wire.ClaimNote{Op: wire.Op_PUT, Attempt: toWire(a)})
}

// Remove tells the owners that an attempt did not run.
func (o *Registry) Remove(ctx context.Context, a dedup.Attempt) {
	o.callAll(ctx, a.Key, &wire.ClaimNote{Op: wire.Op_DROP, Attempt: toWire(a)})
}

// TakeOver takes an attempt over from the process that made it. It reports false
// if any owner says that it has ended or that another has it. Owners change with
// the members known, so one that came later is told of the attempt first.
func (o *Registry) TakeOver(ctx context.Context, a dedup.Attempt, keep time.Duration) bool {
	if first := o.Register(ctx, a, keep); first.Process != a.Process {
		return first.Process == o.Process()
	}
	return o.callAll(ctx, a.Key, &wire.ClaimNote{Op: wire.Op_TAKE, Attempt: toWire(a), To: o.Process()})
}

// End ends an attempt and reports whether this process may bill it: no owner
// says that another took it over.
func (o *Registry) End(ctx context.Context, a dedup.Attempt) bool {
	return o.callAll(ctx, a.Key, &wire.ClaimNote{Op: wire.Op_END, Attempt: toWire(a)})
}

// callAll calls every owner and reports whether none that answers objects.
func (o *Registry) callAll(ctx context.Context, key string, n *wire.ClaimNote) bool {
	var g errgroup.Group
	owners := o.owners(key)
	agreed := make([]bool, len(owners))
	for i, owner := range owners {
		g.Go(func() error {
			answer, err := o.call(ctx, owner, &wire.ClaimNote{Op: n.Op, Attempt: n.Attempt, To: n.To})
			agreed[i] = err != nil || answer.GetOk()
			return err
		})
	}
	if err := g.Wait(); err != nil {
		o.logger.WithError(err).Warnf("claim: an owner of request %s is out of reach", n.GetAttempt().GetRequest())
	}
	for _, ok := range agreed {
		if !ok {
			return false
		}
	}
	return true
}

func (o *Registry) call(ctx context.Context, owner string, n *wire.ClaimNote) (*wire.ClaimAnswer, error) {
	if owner == o.Process() {
		return o.Handle(n), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return o.client.Claim(ctx, owner, n)
}

// Handle changes an entry that this process owns.
func (o *Registry) Handle(n *wire.ClaimNote) *wire.ClaimAnswer {
	a := fromWire(n.GetAttempt())
	answer := &wire.ClaimAnswer{Ok: true}
	switch n.GetOp() {
	case wire.Op_REGISTER:
		answer.First = toWire(o.local.Register(a, time.Now(), time.Duration(n.GetKeep())*time.Millisecond))
	case wire.Op_PUT:
		o.local.SetEndpoint(a.Key, a.Process, a.Endpoint)
	case wire.Op_TAKE:
		answer.Ok = o.local.TakeOver(a.Key, a.Process, n.GetTo())
	case wire.Op_END:
		answer.Ok = o.local.End(a.Key, a.Process)
	case wire.Op_DROP:
		o.local.Remove(a.Key, a.Process)
	}
	return answer
}

// Len returns the number of entries that this process keeps.
func (o *Registry) Len() int { return o.local.Len() }

func toWire(a dedup.Attempt) *wire.AttemptNote {
	return &wire.AttemptNote{Key: a.Key, Digest: a.Digest, Request: a.Request, Process: a.Process, Place: a.Endpoint}
}

func fromWire(n *wire.AttemptNote) dedup.Attempt {
	return dedup.Attempt{Key: n.GetKey(), Digest: n.GetDigest(), Request: n.GetRequest(), Process: n.GetProcess(), Endpoint: n.GetPlace()}
}
