package peers

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/coord/member"
	"jacinthladder.dev/coord/permit"
	"jacinthladder.dev/internal/fleet/ledger"
	"jacinthladder.dev/internal/fleet/peers/wire"
	"jacinthladder.dev/internal/fleet/tunnel"
	"jacinthladder.dev/internal/forward/origin"
	"jacinthladder.dev/internal/plat/object"
)

const (
	// maxDocsBytes is the maximum total size of the values, in bytes, in one reply to a
	// Docs call.
	maxDocsBytes = 8 << 20
	// maxRequestWait limits the wait that a transfer request may ask for. A longer wait
	// is reduced to it.
	maxRequestWait = 30 * time.Second
)

// ObjectSync is the set of functions through which peers exchange objects of the platform:
// configuration, or entries of endpoints.
type ObjectSync struct {
	// Changed returns a channel that is closed at the next change of the objects.
	Changed func() <-chan struct{}
	// CompleteVersion returns the platform version up to which this instance has all
	// objects.
	CompleteVersion func() int64
	// Since returns the objects with a version above after, deleted ones too, in order of
	// version. The second result is the platform version up to which these objects are
	// complete.
	Since func(after int64) ([]object.Object, int64)
	// MergePeer merges the objects that a peer returned from its function Since. The
	// argument complete is the platform version up to which these objects include every
	// change.
	MergePeer func(peer string, objects []object.Object, complete int64)
	// Confirm, if set, is called after all objects of a peer have been merged, with the
	// changes that the peer knew at the time at.
	Confirm func(peer *wire.SyncNote, at time.Time)
}

// Server handles the calls of peers. Set the exported fields before use; HandleClaim and
// HandleFollow may stay nil if no peer calls Claim and Follow.
type Server struct {
	Members *member.Table
	Holder  *escrow.Holder
	Config  ObjectSync
	// Registry, if set, exchanges the entries of endpoints.
	Registry *ObjectSync
	// OnHeartbeat, if set, is called with each heartbeat of a peer, after the members in
	// the heartbeat have been merged into Members. LocalHeartbeat returns the heartbeat
	// that this instance sends.
	OnHeartbeat    func(n *wire.BeatNote)
	LocalHeartbeat func() *wire.BeatNote
	// HandleClaim applies a peer's operation to the attempt at a request key that this
	// instance owns. A request key is the idempotency key of a caller, together with its
	// client account and service. HandleFollow returns the next available chunks of a
	// response that this instance produces.
	HandleClaim  func(n *wire.ClaimNote) *wire.ClaimAnswer
	HandleFollow func(ctx context.Context, n *wire.FollowAsk) (*wire.FollowAnswer, error)
	// HandleKeep, if set, remembers ledgers that a peer has written.
	HandleKeep func(r ledger.Record)
	// HandlePermit, if set, returns the time until a peer may send a request, 0 if it may.
	HandlePermit func(ctx context.Context, a permit.Ask) time.Duration
	// Tunnels, if set, opens connections to endpoints for peers that have no path to them.
	Tunnels *tunnel.Handler
	// Origins, if set, knows which software version began each stream that this instance relays.
	Origins *origin.Register

	// Spread, if set, returns a channel that is closed when objects have come from the platform
	// that the followers of this instance should get at once. Leader returns the address
	// of the peer that this instance follows, empty if there is none, and Followers the
	// addresses of the peers that follow it. Both are set with Spread.
	Spread    func() <-chan struct{}
	Leader    func() string
	Followers func() []string
	// News, if set, returns a channel that is closed when a round of heartbeats should start at
	// once, besides at a change of the configuration.
	News func() <-chan struct{}

	onNewer func(address string) // called with the address of a peer that has newer objects
}

// Keep remembers the ledgers that a peer has written.
func (s *Server) Keep(_ context.Context, n *wire.KeepNote) (*wire.KeepAnswer, error) {
	if s.HandleKeep == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this instance keeps no ledgers")
	}
	r := ledger.Record{Shard: n.GetShard(), Era: n.GetEra()}
	for _, b := range n.GetBooks() {
		r.Ledgers = append(r.Ledgers, ledger.RecordedLedger{Budget: b.GetBudget(), Version: b.GetVersion(), Data: b.GetBook()})
	}
	s.HandleKeep(r)
	return &wire.KeepAnswer{}, nil
}

// Permit replies to the question of a peer for a permit. It refuses a call that is addressed to
// another process.
func (s *Server) Permit(ctx context.Context, n *wire.PermitNote) (*wire.PermitAnswer, error) {
	if s.HandlePermit == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this instance grants no permits")
	}
	if err := s.checkProcess(n.GetProcess()); err != nil {
		return nil, err
	}
	wait := s.HandlePermit(ctx, permit.Ask{Key: n.GetKey(), Rate: n.GetRate(), Relayed: n.GetRelayed()})
	return &wire.PermitAnswer{Wait: int64(math.Ceil(float64(wait) / float64(time.Microsecond)))}, nil
}

// Handler returns the HTTP handler for the calls of peers.
func (s *Server) Handler() http.Handler {
	calls := wire.NewPeersServer(s)
	if s.Tunnels == nil {
		return calls
	}
	mux := http.NewServeMux()
	mux.Handle(tunnel.Path, s.Tunnels)
	mux.Handle("/", calls)
	return mux
}

// Beat processes the heartbeat of a peer and returns the heartbeat of this instance, with
// members that the peer lacks. If the peer has newer objects, Beat queues a fetch from it.
func (s *Server) Beat(_ context.Context, n *wire.BeatNote) (*wire.BeatNote, error) {
	digest := digestFromWire(n.GetDigest())
	s.receive(n, digest)
	if s.onNewer != nil && s.hasNewer(n) {
		s.onNewer(n.GetSelf().GetAddress())
	}
	reply := s.LocalHeartbeat()
	for _, m := range s.Members.Lacking(time.Now(), digest) {
		if m.Process != n.GetSelf().GetProcess() {
			reply.Members = append(reply.Members, memberToWire(m))
		}
	}
	return reply, nil
}

// hasNewer reports whether the sender of a heartbeat has newer objects than this instance.
func (s *Server) hasNewer(n *wire.BeatNote) bool {
	return n.GetConfig() > s.Config.CompleteVersion() || s.Registry != nil && n.GetRegistry() > s.Registry.CompleteVersion()
}

// Receive merges the members in a peer's heartbeat into the membership table and passes
// the heartbeat to OnHeartbeat.
func (s *Server) Receive(n *wire.BeatNote) { s.receive(n, digestFromWire(n.GetDigest())) }

// receive is Receive for a heartbeat whose digest is decoded.
func (s *Server) receive(n *wire.BeatNote, digest member.Digest) {
	now := time.Now()
	if n.GetSelf() != nil {
		s.Members.Merge(now, memberFromWire(n.GetSelf()))
	}
	for _, m := range n.GetMembers() {
		s.Members.Merge(now, memberFromWire(m))
	}
	s.Members.MergeDigest(now, digest)
	if s.OnHeartbeat != nil {
		s.OnHeartbeat(n)
	}
}

// Docs returns the objects with a version above the field After of n, up to maxDocsBytes of
// values. The peer fetches the remaining objects with further calls.
func (s *Server) Docs(_ context.Context, n *wire.DocsAsk) (*wire.DocsAnswer, error) {
	sync := &s.Config
	if n.GetRegistry() {
		sync = s.Registry
	}
	if sync == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this instance has no entries of endpoints")
	}
	objects, complete := sync.Since(n.GetAfter())
	reply := &wire.DocsAnswer{Complete: complete}
	size := 0
	for _, o := range objects {
		size += len(o.Value())
		if size > maxDocsBytes {
			// The reply is complete only up to its last object. The peer calls again for
			// the objects above that version.
			reply.Complete = reply.Docs[len(reply.Docs)-1].Version
			break
		}
		reply.Docs = append(reply.Docs, &wire.DocNote{Kind: o.Kind(), Name: o.Name(), Version: o.Version(), Value: o.Value(), Deleted: o.Deleted()})
	}
	return reply, nil
}

// Ask handles a transfer request, with which a peer asks for a part of this instance's
// share of a budget. It refuses a request for a negative amount.
func (s *Server) Ask(ctx context.Context, n *wire.PleaNote) (*wire.ReplyNote, error) {
	if n.GetNeed() < 0 || n.GetWant() < 0 {
		return nil, twirp.InvalidArgumentError("need", "negative amount")
	}
	reply := s.Holder.HandleRequest(ctx, escrow.TransferRequest{
		Budget: n.GetBudget(), From: n.GetFrom(), Need: n.GetNeed(), Want: n.GetWant(),
		Wait: min(time.Duration(n.GetWait())*time.Millisecond, maxRequestWait), Priority: int(n.GetRank()),
	})
	return &wire.ReplyNote{Gift: transferToWire(reply.Transfer), Room: reply.Available, Opened: reply.Reserved, Why: errorToWire(reply.Err), Waits: reply.MayFree}, nil
}

// Give credits a transfer of budget to one of this instance's shares and returns the
// acknowledgement. It refuses a transfer to a share that this instance does not have.
func (s *Server) Give(_ context.Context, n *wire.GiftNote) (*wire.ReceiptNote, error) {
	reply, err := s.Holder.HandleTransfer(transferFromWire(n))
	if err != nil {
		return nil, twirp.NotFoundError(err.Error())
	}
	return &wire.ReceiptNote{Credited: reply.Credited, Final: reply.Final}, nil
}

// Raise records marks of shares, for which this instance is a witness. A mark is an upper
// bound of what a share spends and transfers to other shares. Raise refuses the marks of
// shares that are sealed, and returns the IDs of these shares.
func (s *Server) Raise(_ context.Context, n *wire.RaiseNote) (*wire.RaiseAnswer, error) {
	if err := s.checkProcess(n.GetWitness()); err != nil {
		return nil, err
	}
	reply := &wire.RaiseAnswer{}
	for _, m := range n.GetMarks() {
		if err := s.Holder.Witness().Raise(m.GetShare(), m.GetLimit()); err != nil {
			reply.Sealed = append(reply.Sealed, m.GetShare())
		}
	}
	return reply, nil
}

// Seal makes this instance, as a witness, refuse all further marks of a share. A mark is
// an upper bound of what a share spends and transfers to other shares. Seal returns the
// highest mark recorded for the share, or an error if no mark is recorded.
func (s *Server) Seal(_ context.Context, n *wire.SealNote) (*wire.SealAnswer, error) {
	if err := s.checkProcess(n.GetWitness()); err != nil {
		return nil, err
	}
	limit, err := s.Holder.Witness().Seal(n.GetShare())
	if err != nil {
		return nil, twirp.NotFoundError(err.Error())
	}
	return &wire.SealAnswer{Limit: limit}, nil
}

// Claim applies a peer's operation to the attempt at a request key that this process owns.
// A request key is the idempotency key of a caller, together with its client account and
// service. Claim refuses a call that is addressed to another process.
func (s *Server) Claim(_ context.Context, n *wire.ClaimNote) (*wire.ClaimAnswer, error) {
	if err := s.checkProcess(n.GetOwner()); err != nil {
		return nil, err
	}
	return s.HandleClaim(n), nil
}

// Follow returns the next available chunks of a response that this process produces. It
// refuses a call that is addressed to another process or names an unknown request.
func (s *Server) Follow(ctx context.Context, n *wire.FollowAsk) (*wire.FollowAnswer, error) {
	if err := s.checkProcess(n.GetProcess()); err != nil {
		return nil, err
	}
	reply, err := s.HandleFollow(ctx, n)
	if errors.Is(err, ErrUnknownProcess) {
		return nil, twirp.NotFoundError(err.Error())
	}
	return reply, err
}

// checkProcess returns an error if a call is addressed to a process other than this one,
// such as one that had this address before.
func (s *Server) checkProcess(process string) error {
	if process != s.Holder.Process() {
		return twirp.NotFoundError(errors.Wrap(ErrUnknownProcess, process).Error())
	}
	return nil
}

func memberFromWire(n *wire.MemberNote) member.Member {
	return member.Member{Process: n.GetProcess(), Zone: n.GetZone(), Address: n.GetAddress(), Heartbeat: n.GetCount(), Leaving: n.GetLeaving()}
}

func memberToWire(m member.Member) *wire.MemberNote {
	return &wire.MemberNote{Process: m.Process, Zone: m.Zone, Address: m.Address, Count: m.Heartbeat, Leaving: m.Leaving}
}
