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
	// maxDocs bounds the configuration in one answer, in bytes.
	maxDocs = 8 << 20
	// maxWait bounds how long a peer may let a plea wait.
	maxWait = 30 * time.Second
)

// ConfigSync is the configuration that peers pass on to one another.
type ConfigSync struct {
	// Changed returns a channel that is closed at the next change.
	Changed func() <-chan struct{}
	// CompleteVersion returns the version up to which all configuration is known here.
	CompleteVersion func() int64
	// Since returns what is above a version, in order, and the version up to
	// which that is complete.
	Since func(after int64) ([]object.Object, int64)
	// MergePeer takes in what a peer had above a version.
	MergePeer func(peer string, objects []object.Object, complete int64)
}

// Server answers what peers ask of this instance.
type Server struct {
	Table  *member.Table
	Holder *escrow.Holder
	Config ConfigSync
	// OnHeartbeat takes in a heartbeat's news of endpoints and limits; Own returns the
	// heartbeat that this instance sends.
	OnHeartbeat    func(n *wire.BeatNote)
	LocalHeartbeat func() *wire.BeatNote
	// Claim changes an entry of a key that this instance owns; Follow returns
	// what there is of an answer that it makes.
	HandleClaim  func(n *wire.ClaimNote) *wire.ClaimAnswer
	HandleFollow func(ctx context.Context, n *wire.FollowAsk) (*wire.FollowAnswer, error)

	behind func(address string) // told of a peer with more configuration
}

// Handler returns the HTTP surface for peers.
func (s *Server) Handler() http.Handler { return wire.NewPeersServer(s) }

// Beat exchanges heartbeats.
func (s *Server) Beat(_ context.Context, n *wire.BeatNote) (*wire.BeatNote, error) {
	s.Receive(n)
	if s.behind != nil && n.GetConfig() > s.Config.CompleteVersion() {
		s.behind(n.GetSelf().GetAddress())
	}
	return s.LocalHeartbeat(), nil
}

// Receive takes in a heartbeat.
func (s *Server) Receive(n *wire.BeatNote) {
	now := time.Now()
	if n.GetSelf() != nil {
		s.Table.Merge(now, memberOf(n.GetSelf()))
	}
	for _, m := range n.GetMembers() {
		s.Table.Merge(now, memberOf(m))
	}
	if s.OnHeartbeat != nil {
		s.OnHeartbeat(n)
	}
}

// Docs returns the configuration that a peer lacks.
func (s *Server) Docs(_ context.Context, n *wire.DocsAsk) (*wire.DocsAnswer, error) {
	objects, complete := s.Config.Since(n.GetAfter())
	answer := &wire.DocsAnswer{Complete: complete}
	size := 0
	for _, o := range objects {
		size += len(o.Value())
		if size > maxDocs {
			// The peer asks again from the last version that it got.
			answer.Complete = answer.Docs[len(answer.Docs)-1].Version
			break
		}
		answer.Docs = append(answer.Docs, &wire.DocNote{Kind: o.Kind(), Name: o.Name(), Version: o.Version(), Value: o.Value()})
	}
	return answer, nil
}

// Ask gives a peer a part of a share.
func (s *Server) Ask(ctx context.Context, n *wire.PleaNote) (*wire.ReplyNote, error) {
	if n.GetNeed() < 0 || n.GetWant() < 0 {
		return nil, twirp.InvalidArgumentError("need", "negative amount")
	}
	r := s.Holder.HandleRequest(ctx, escrow.TransferRequest{
		Budget: n.GetBudget(), From: n.GetFrom(), Need: n.GetNeed(), Want: n.GetWant(),
		Wait: min(time.Duration(n.GetWait())*time.Millisecond, maxWait), Priority: int(n.GetRank()),
	})
	return &wire.ReplyNote{Gift: noteOf(r.Transfer), Room: r.Available, Opened: r.Reserved, Why: whyNote(r.Err), Waits: r.MayFree}, nil
}

// Give credits a gift.
func (s *Server) Give(_ context.Context, n *wire.GiftNote) (*wire.ReceiptNote, error) {
	r, err := s.Holder.HandleTransfer(giftOf(n))
	if err != nil {
		return nil, twirp.NotFoundError(err.Error())
	}
	return &wire.ReceiptNote{Credited: r.Credited, Final: r.Final}, nil
}

// Raise records marks.
func (s *Server) Raise(_ context.Context, n *wire.RaiseNote) (*wire.RaiseAnswer, error) {
	if err := s.meant(n.GetWitness()); err != nil {
		return nil, err
	}
	answer := &wire.RaiseAnswer{}
	for _, m := range n.GetMarks() {
		if err := s.Holder.Witness().Raise(m.GetShare(), m.GetLimit()); err != nil {
			answer.Sealed = append(answer.Sealed, m.GetShare())
		}
	}
	return answer, nil
}

// Seal seals a share.
func (s *Server) Seal(_ context.Context, n *wire.SealNote) (*wire.SealAnswer, error) {
	if err := s.meant(n.GetWitness()); err != nil {
		return nil, err
	}
	limit, err := s.Holder.Witness().Seal(n.GetShare())
	if err != nil {
		return nil, twirp.NotFoundError(err.Error())
	}
	return &wire.SealAnswer{Limit: limit}, nil
}

// Claim changes the entry of a key.
func (s *Server) Claim(_ context.Context, n *wire.ClaimNote) (*wire.ClaimAnswer, error) {
	if err := s.meant(n.GetOwner()); err != nil {
		return nil, err
	}
	return s.HandleClaim(n), nil
}

// Follow returns what there is of an answer.
func (s *Server) Follow(ctx context.Context, n *wire.FollowAsk) (*wire.FollowAnswer, error) {
	if err := s.meant(n.GetProcess()); err != nil {
		return nil, err
	}
	answer, err := s.HandleFollow(ctx, n)
	if errors.Is(err, ErrUnknownProcess) {
		return nil, twirp.NotFoundError(err.Error())
	}
	return answer, err
}

// meant refuses a call for another process that had this address before.
func (s *Server) meant(process string) error {
	if process != s.Holder.Process() {
		return twirp.NotFoundError(errors.Wrap(ErrUnknownProcess, process).Error())
	}
	return nil
}

func memberOf(n *wire.MemberNote) member.Member {
	return member.Member{Process: n.GetProcess(), Zone: n.GetZone(), Address: n.GetAddress(), Heartbeat: n.GetCount(), Leaving: n.GetLeaving()}
}

func memberNote(m member.Member) *wire.MemberNote {
	return &wire.MemberNote{Process: m.Process, Zone: m.Zone, Address: m.Address, Count: m.Heartbeat, Leaving: m.Leaving}
}
