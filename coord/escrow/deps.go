package escrow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrNotFound means that the store has no ledger of the budget.
	ErrNotFound = errors.New("escrow: budget does not exist")
	// ErrConflict means that a ledger changed between a read and the write that
	// depends on it; that write changed nothing.
	ErrConflict = errors.New("escrow: ledger was changed by another write")
	// ErrExhausted means that too little of the budget is left to pay for the
	// reservation.
	ErrExhausted = errors.New("escrow: budget is exhausted")
	// ErrUnreachable means that the share has too little available for the
	// reservation and that the store, whose ledger may have more free, can't be
	// reached.
	ErrUnreachable = errors.New("escrow: share is exhausted and the ledger store is unreachable")
)

// Store holds the functions by which a holder reads and writes ledgers. The
// caller supplies them. Any error but ErrNotFound and ErrConflict means that
// the outcome is unknown: a write may or may not have taken effect.
type Store struct {
	// Read returns a budget's ledger and its version, which is to be passed to
	// Write.
	Read func(ctx context.Context, budget string) (*Ledger, int64, error)
	// Write replaces a budget's ledger if version is still its version in the
	// store, else it returns ErrConflict.
	Write func(ctx context.Context, budget string, version int64, l *Ledger) error
	// Update, if set, is used instead of Read and Write for shares without
	// witnesses. It applies edit to the current ledger and writes the ledger if
	// edit reports a change and no error. After a conflict it starts again. So
	// edit may run several times; only its last run counts.
	Update func(ctx context.Context, budget string, edit func(l *Ledger) (changed bool, err error)) error
}

// Mark is an upper bound of a share's outflow (what it has used, reserved and
// transferred), to be recorded at a witness.
type Mark struct {
	ID    string // share ID
	Limit int64  // upper bound of the share's total outflow, in micro-units
}

// Peers holds the functions by which a holder finds and calls the other
// holders, addressed by process ID. A nil function means that the call is
// unavailable.
type Peers struct {
	// Live returns the process IDs of live peers, the nearest first.
	Live func() []string
	// ZoneMembers returns the process IDs of the live holders of this zone. For
	// each budget, one of them is the home: it draws from the ledger of the
	// budget, and the others request amounts from it. The list includes this
	// process unless this process is leaving.
	ZoneMembers func() []string
	// HomeKey returns the key that is hashed to choose a budget's home; within a
	// zone, budgets with the same key have the same home. If HomeKey is nil, the
	// key is the budget's name.
	HomeKey func(budget string) string
	// Request sends a transfer request to a process and returns its reply.
	Request func(ctx context.Context, process string, req TransferRequest) (TransferReply, error)
	// Deliver sends a transfer to the process of the receiving share and
	// returns its acknowledgement.
	Deliver func(ctx context.Context, process string, t Transfer) (TransferAck, error)
	// Witnesses returns the process IDs of three peers to be the witnesses of a
	// share, outside the holder's zone if possible, and fewer if there are not
	// enough peers.
	Witnesses func() []string
	// RaiseMarks records marks of shares at a witness, given by its process ID. It
	// returns the IDs of those marked shares that are sealed at the witness.
	RaiseMarks func(ctx context.Context, process string, marks []Mark) (sealed []string, err error)
	// Seal seals a share at a witness, which then refuses further marks of the
	// share, and returns the highest mark that the witness has recorded for it, in
	// micro-units.
	Seal func(ctx context.Context, process, id string) (int64, error)
	// Silent reports whether a process has not been heard from for so long that
	// reclaiming its shares is worth trying. It may be wrong: the invariants don't
	// depend on it.
	Silent func(process string) bool
}

// Policy configures how a holder manages its share of one budget.
type Policy struct {
	// OutageTolerance is the time for which the target of a share covers its
	// demand: a share at its target lasts that long without a refill, at the
	// current demand.
	OutageTolerance time.Duration
	// ToleranceAfterKill replaces OutageTolerance, if it is shorter, for killMemory
	// after an earlier process of the instance was found to have been killed. It
	// bounds what a process that is killed again and again loses. With 0 the outage
	// tolerance stays.
	ToleranceAfterKill time.Duration
	// Unwitnessed is the amount, in micro-units, that a holder may spend beyond
	// the share's mark that its witnesses have acknowledged. With 0 the share
	// needs no witnesses, and peers can't reclaim it if its process crashes.
	Unwitnessed int64
	// MinTarget is the least amount that a share aims to hold, whatever the
	// demand. Floor is the amount below which a share counts as nearly empty. Both
	// are in micro-units. With 0 each is derived from the largest amount asked for
	// so far (see minTargetRequests and floorRequests).
	MinTarget, Floor int64
	// Fraction bounds the amounts that shares draw ahead of need. The unspent
	// budget is the free amount of the ledger plus the idle amounts of the open
	// shares. All shares together may hold this fraction of it, divided among them
	// by demand. With 0 they may hold all of the unspent budget, each share an
	// equal part. The bound limits the loss when a process crashes, since the
	// amount that the process holds is then lost.
	Fraction float64
	// EmptyTTL is how long a reading of the ledger that showed nothing free stays
	// valid: during that time no refill reads the ledger again. With 0 it is the
	// default, emptyTTL.
	EmptyTTL time.Duration
}

const (
	// callTimeout bounds one call to the store, and one call to a peer except
	// transfer requests.
	callTimeout = 2 * time.Second
	// requestTimeout bounds one transfer request to a peer, in addition to the
	// time that the peer may take to collect the amount (TransferRequest.Wait).
	requestTimeout = 150 * time.Millisecond
	// collectTimeout is how long a collector, the holder that collects the rest of
	// an exhausted budget, may take to collect the amount of one transfer request.
	// A lost message delays a reservation by at most this plus requestTimeout.
	collectTimeout = 100 * time.Millisecond
	// resendInterval is the least time between two rounds in which a holder sends
	// unacknowledged transfers again.
	resendInterval = tickInterval
	// zoneResendInterval replaces resendInterval in a zone whose budgets have
	// homes, because a home sends a transfer for each request that it serves.
	zoneResendInterval = time.Second
	// tickInterval is the interval at which Holder.Run calls Tick.
	tickInterval = 250 * time.Millisecond
	// emptyTTL is the default of Policy.EmptyTTL, the time for which a reading of
	// the ledger that showed nothing free stays valid. If a reservation fails
	// although the last reading of the ledger showed its amount free, the
	// reservation is tried again at once, unless that reading is older than
	// emptyTTL.
	emptyTTL = 250 * time.Millisecond
	// scarceTTL is how long a budget counts as scarce after a reading of its
	// ledger showed nothing free. During that time Run transfers the available
	// amount of a nearly empty share to the collector; after it, Run reads the
	// ledger again. scarceTTL is also the pause in refills ahead of need after a
	// grant that was too small to be worth a write.
	scarceTTL = 5 * time.Second
	// shortfallInterval is how often a holder reads the ledger for the shortfalls
	// of peers' shares, whose holders can't reach this one. It does so only for a
	// share with at least twice its floor idle.
	shortfallInterval = 5 * time.Second
	// denialTTL is how long a peer's reply that the budget can't pay for an amount
	// stays valid. During that time, a reservation of that amount or more is
	// refused without a call to a peer or the store if the share can't serve it.
	denialTTL = 20 * time.Millisecond
	// unreachableTTL is how long a failed attempt at all sources, some of which did not
	// reply or can't reach the store, stays valid. During that time, a reservation of that
	// amount or more is refused at once if the share can't serve it: in an outage, each
	// request of a caller would otherwise make a request to every peer.
	unreachableTTL = 200 * time.Millisecond
	// failureBackoff is how long after a failed call to the store no refill of the
	// share from the ledger is tried.
	failureBackoff = 500 * time.Millisecond
	// maxPeersAsked is the number of peers that one attempt at a reservation asks,
	// at most, to transfer a part of their shares.
	maxPeersAsked = 8
	// minTargetRequests is the default of Policy.MinTarget, in multiples of the
	// largest amount that a reservation has asked the share for so far.
	minTargetRequests = 128
	// floorRequests is the default of Policy.Floor, in multiples of the largest
	// amount that a reservation has asked the share for so far.
	floorRequests = 16
	// killMemory is how long Policy.ToleranceAfterKill applies.
	killMemory = 30 * time.Second
	// markRequests sets, together with markHorizon, how far a share's mark is
	// raised ahead of its outflow: by the larger of markRequests times the largest
	// amount asked for so far and the use in markHorizon at the average rate of
	// spending. The amounts of waiting reservations are added to that.
	markRequests = 8
	// markHorizon is the time for which a share's mark covers at least the use
	// expected at the average rate of spending (see markRequests).
	markHorizon = 2 * time.Second
)
