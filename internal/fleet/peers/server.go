package peers

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/coord/member"
	"jacinthladder.dev/internal/fleet/peers/wire"
	"jacinthladder.dev/internal/plat/object"
)

const (
	// maxDocsBytes is the maximum size of the configuration in one reply.
	maxDocsBytes = 8 << 20
	// maxRequestWait is the maximum wait that a transfer request may ask for.
	maxRequestWait = 30 * time.Second
)

// ConfigSync gives access to the configuration that peers exchange.
type ConfigSync struct {
	// Changed returns a channel that is closed at the next change.
	Changed func() <-chan struct{}
	// CompleteVersion returns the version up to which this instance has all
	// configuration.
	CompleteVersion func() int64
	// Since returns the objects with a version above after, in order of version, and
	// the version up to which they are complete.
	Since func(after int64) ([]object.Object, int64)
	// MergePeer merges objects that a peer has returned from Since.
	MergePeer func(peer string, objects []object.Object, complete int64)
}

// Server handles the calls of peers.
type Server struct {
	Members *member.Table
	Holder  *escrow.Holder
	Config  ConfigSync
	// OnHeartbeat processes what a heartbeat says about endpoints and limits.
	// LocalHeartbeat returns the heartbeat that this instance sends.
	OnHeartbeat    func(n *wire.BeatNote)
	LocalHeartbeat func() *wire.BeatNote
	// HandleClaim changes the entry of a request key that this instance owns.
	// HandleFollow returns the available part of a response that it produces.
	HandleClaim  func(n *wire.ClaimNote) *wire.ClaimAnswer
	HandleFollow func(ctx context.Context, n *wire.FollowAsk) (*wire.FollowAnswer, error)

	onBehind func(address string) // called with the address of a peer that has newer configuration
}

// Handler returns the HTTP handler for peers.
func (s *Server) Handler() http.Handler { return wire.NewPeersServer(s) }

// Beat processes a heartbeat and replies with the one of this instance.
func (s *Server) Beat(_ context.Context, n *wire.BeatNote) (*wire.BeatNote, error) {
	s.Receive(n)
	if s.onBehind != nil && n.GetConfig() > s.Config.CompleteVersion() {
		s.onBehind(n.GetSelf().GetAddress())
	}
	return s.LocalHeartbeat(), nil
}

// Receive processes a heartbeat.
func (s *Server) Receive(n *wire.BeatNote) {
	now := time.Now()
	if n.GetSelf() != nil {
		s.Members.Merge(now, memberFromWire(n.GetSelf()))
	}
	for _, m := range n.GetMembers() {
		s.Members.Merge(now, memberFromWire(m))
	}
	if s.OnHeartbeat != nil {
		s.OnHeartbeat(n)
	}
}

// Docs returns configuration that a peer lacks.
func (s *Server) Docs(_ context.Context, n *wire.DocsAsk) (*wire.DocsAnswer, error) {
	objects, complete := s.Config.Since(n.GetAfter())
	reply := &wire.DocsAnswer{Complete: complete}
	size := 0
	for _, o := range objects {
		size += len(o.Value())
		if size > maxDocsBytes {
			// The peer calls again with the last version that it has received.
			reply.Complete = reply.Docs[len(reply.Docs)-1].Version
			break
		}
		reply.Docs = append(reply.Docs, &wire.DocNote{Kind: o.Kind(), Name: o.Name(), Version: o.Version(), Value: o.Value()})
	}
	return reply, nil
}

// Ask handles a peer's request for a transfer of budget.
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

// Give credits a transfer of budget.
func (s *Server) Give(_ context.Context, n *wire.GiftNote) (*wire.ReceiptNote, error) {
	reply, err := s.Holder.HandleTransfer(transferFromWire(n))
	if err != nil {
		return nil, twirp.NotFoundError(err.Error())
	}
	return &wire.ReceiptNote{Credited: reply.Credited, Final: reply.Final}, nil
}

// Raise raises the recorded marks of shares, and returns those shares that are sealed.
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

// Seal seals a share at this witness and returns the highest mark recorded for it.
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

// Claim changes the entry of a request key.
func (s *Server) Claim(_ context.Context, n *wire.ClaimNote) (*wire.ClaimAnswer, error) {
	if err := s.checkProcess(n.GetOwner()); err != nil {
		return nil, err
	}
	return s.HandleClaim(n), nil
}

// Follow returns the available part of a response.
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

// checkProcess returns an error if a call is addressed to another process, which
// had this address before.
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
