package owner

import (
	"context"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"jacinthladder.dev/coord/claim"
	"jacinthladder.dev/coord/member"
	"jacinthladder.dev/internal/fleet/peers"
	"jacinthladder.dev/internal/fleet/peers/wire"
)

// callTime bounds one call to an owner. An owner out of reach is done without.
const callTime = 300 * time.Millisecond

// Owners reaches the owners of keys. Make one with New.
type Owners struct {
	registry claim.Registry
	table    *member.Table
	client   *peers.Client
	logger   log.Interface
}

// New returns the way to the owners among the members of table.
func New(t *member.Table, c *peers.Client, logger log.Interface) *Owners {
	return &Owners{table: t, client: c, logger: logger}
}

// Process returns the own process ID.
func (o *Owners) Process() string { return o.table.Self().Process }

// Silent reports whether a process has not been heard of late.
func (o *Owners) Silent(process string) bool { return o.table.Silent(process, time.Now()) }

// of returns the processes that own a key.
func (o *Owners) of(key string) []string {
	self := o.table.Self()
	members := []claim.Owner{{Process: self.Process, Zone: self.Zone}}
	for _, m := range o.table.Live(time.Now()) {
		if !m.Leaving {
			members = append(members, claim.Owner{Process: m.Process, Zone: m.Zone})
		}
	}
	return claim.Owners(key, members)
}

// Register enters an attempt with the owners of its key and returns the one
// that counts. Owners that can't be reached have no say.
func (o *Owners) Register(ctx context.Context, a claim.Attempt, keep time.Duration) claim.Attempt {
	for _, owner := range o.of(a.Key) {
		answer, err := o.call(ctx, owner, &wire.ClaimNote{Op: wire.Op_REGISTER, Attempt: note(a), Keep: keep.Milliseconds()})
		if err != nil {
			o.logger.WithError(err).Warnf("claim: an owner of request %s is out of reach", a.Request)
			continue
		}
		if first := attempt(answer.GetFirst()); first.Request != a.Request || first.Process != a.Process {
			return first
		}
	}
	return a
}

// Put tells the owners where an attempt runs.
func (o *Owners) Put(ctx context.Context, a claim.Attempt) {
	o.all(ctx, a.Key, &wire.ClaimNote{Op: wire.Op_PUT, Attempt: note(a)})
}

// Drop tells the owners that an attempt did not run.
func (o *Owners) Drop(ctx context.Context, a claim.Attempt) {
	o.all(ctx, a.Key, &wire.ClaimNote{Op: wire.Op_DROP, Attempt: note(a)})
}

// Take takes an attempt over from the process that made it. It reports false
// if any owner says that it has ended or that another has it. Owners change with
// the members known, so one that came later is told of the attempt first.
func (o *Owners) Take(ctx context.Context, a claim.Attempt, keep time.Duration) bool {
	if first := o.Register(ctx, a, keep); first.Process != a.Process {
		return first.Process == o.Process()
	}
	return o.all(ctx, a.Key, &wire.ClaimNote{Op: wire.Op_TAKE, Attempt: note(a), To: o.Process()})
}

// End ends an attempt and reports whether this process may bill it: no owner
// says that another took it over.
func (o *Owners) End(ctx context.Context, a claim.Attempt) bool {
	return o.all(ctx, a.Key, &wire.ClaimNote{Op: wire.Op_END, Attempt: note(a)})
}

// all calls every owner and reports whether none that answers objects.
func (o *Owners) all(ctx context.Context, key string, n *wire.ClaimNote) bool {
	var g errgroup.Group
	owners := o.of(key)
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

func (o *Owners) call(ctx context.Context, owner string, n *wire.ClaimNote) (*wire.ClaimAnswer, error) {
	if owner == o.Process() {
		return o.Answer(n), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return o.client.Claim(ctx, owner, n)
}

// Answer changes an entry that this process owns.
func (o *Owners) Answer(n *wire.ClaimNote) *wire.ClaimAnswer {
	a := attempt(n.GetAttempt())
	answer := &wire.ClaimAnswer{Ok: true}
	switch n.GetOp() {
	case wire.Op_REGISTER:
		answer.First = note(o.registry.Register(a, time.Now(), time.Duration(n.GetKeep())*time.Millisecond))
	case wire.Op_PUT:
		o.registry.Put(a.Key, a.Process, a.Place)
	case wire.Op_TAKE:
		answer.Ok = o.registry.Take(a.Key, a.Process, n.GetTo())
	case wire.Op_END:
		answer.Ok = o.registry.End(a.Key, a.Process)
	case wire.Op_DROP:
		o.registry.Drop(a.Key, a.Process)
	}
	return answer
}

// Len returns the number of entries that this process keeps.
func (o *Owners) Len() int { return o.registry.Len() }

func note(a claim.Attempt) *wire.AttemptNote {
	return &wire.AttemptNote{Key: a.Key, Digest: a.Digest, Request: a.Request, Process: a.Process, Place: a.Place}
}

func attempt(n *wire.AttemptNote) claim.Attempt {
	return claim.Attempt{Key: n.GetKey(), Digest: n.GetDigest(), Request: n.GetRequest(), Process: n.GetProcess(), Place: n.GetPlace()}
}
