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
	// ErrUnreachable means that the share can't pay for the reservation and
	// that the store, which may have more, can't be reached.
	ErrUnreachable = errors.New("escrow: share is exhausted and the ledger store is unreachable")
)

// Store reads and writes ledgers by functions that the caller supplies. Any
// error but ErrNotFound and ErrConflict means that the outcome is unknown: a
// write may or may not have taken effect.
type Store struct {
	// Read returns a budget's ledger and its version, which is to be passed to
	// Write.
	Read func(ctx context.Context, budget string) (*Ledger, int64, error)
	// Write replaces a budget's ledger if version is still its version in the
	// store, else it returns ErrConflict.
	Write func(ctx context.Context, budget string, version int64, l *Ledger) error
	// Update, if set, is used instead of Read and Write for shares without
	// witnesses. It applies edit to the current ledger and writes the ledger if
	// edit reports a change. After a conflict it starts again. So edit may run
	// several times; only its last run counts.
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
	// ZoneMembers returns the process IDs of the live holders of this zone. One
	// of them is the home of a budget, which draws it for the others. The list
	// includes this process unless it is leaving.
	ZoneMembers func() []string
	// HomeKey returns the key that is hashed to choose a budget's home; budgets
	// with the same key have the same home. If HomeKey is nil, the key is the
	// budget's name.
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
	// RaiseMarks records marks at a witness. It returns the IDs of those marked
	// shares that are sealed there.
	RaiseMarks func(ctx context.Context, process string, marks []Mark) (sealed []string, err error)
	// Seal seals a share at a witness, which then refuses further marks of it,
	// and returns the share's highest mark there.
	Seal func(ctx context.Context, process, id string) (int64, error)
	// Silent reports whether a process has not been heard from for so long that
	// reclaiming its shares is worth trying. It may be wrong.
	Silent func(process string) bool
}

// Policy configures how a holder manages its share of one budget.
type Policy struct {
	// OutageTolerance is how long a share that holds its target lasts at the
	// current demand if it gets no more.
	OutageTolerance time.Duration
	// Unwitnessed is the amount, in micro-units, that may be spent beyond the
	// mark that witnesses have acknowledged. With 0 the holder needs no
	// witnesses, and peers can't reclaim what it leaves behind.
	Unwitnessed int64
	// MinTarget is the least amount that a share aims to hold, whatever the
	// demand. Floor is the amount below which a share counts as nearly empty.
	// Both are in micro-units. With 0 each is derived from the largest request.
	MinTarget, Floor int64
	// Fraction bounds what all shares together may hold ahead of need: this
	// fraction of the part of the budget that is free in the ledger or idle in
	// shares. The shares divide it by demand. With 0 they may hold all of that
	// part, and each an equal amount. What a process holds is lost when it
	// crashes.
	Fraction float64
	// EmptyTTL is how long the ledger is not read again for refills after a
	// reading that showed nothing free. With 0 it is the default, emptyTTL.
	EmptyTTL time.Duration
}

const (
	// callTimeout bounds one call to the store, and one call to a peer except
	// transfer requests.
	callTimeout = 2 * time.Second
	// requestTimeout bounds one transfer request to a peer, in addition to the
	// time that the peer may take to collect the amount.
	requestTimeout = 150 * time.Millisecond
	// collectTimeout is how long a collector may take to collect the amount of
	// one transfer request. A lost message delays a reservation by at most this
	// plus requestTimeout.
	collectTimeout = 100 * time.Millisecond
	// resendInterval is the least time between two rounds in which
	// unacknowledged transfers are sent again. zoneResendInterval replaces it
	// in a zone whose budgets have homes, because a home sends a transfer for
	// each request.
	resendInterval     = tickInterval
	zoneResendInterval = time.Second
	// tickInterval is the interval at which Holder.Run calls Tick.
	tickInterval = 250 * time.Millisecond
	// emptyTTL is the default of Policy.EmptyTTL. It is also the age up to
	// which a reading that showed enough free is a reason to try a reservation
	// again at once.
	emptyTTL = 250 * time.Millisecond
	// scarceTTL is how long a budget counts as scarce after a reading of its
	// ledger showed nothing free. During that time Run hands what is left of a
	// nearly empty share over to the collector; after it, Run reads the ledger
	// again. scarceTTL is also the pause in refills ahead of need after a grant
	// that was too small to be worth a write.
	scarceTTL = 5 * time.Second
	// shortfallInterval is how often a holder reads the ledger for the
	// shortfalls of peers that can't reach it, if it has at least twice its
	// floor left.
	shortfallInterval = 5 * time.Second
	// denialTTL is how long a peer's reply that the budget can't pay for an
	// amount stays valid. During that time, a reservation of that amount or
	// more is refused without a call if the share can't serve it.
	denialTTL = 20 * time.Millisecond
	// failureBackoff is how long after a failed call to the store no refill is
	// tried.
	failureBackoff = 500 * time.Millisecond
	// maxPeersAsked bounds the peers that one attempt at a reservation asks for
	// a part of their shares.
	maxPeersAsked = 8
	// minTargetRequests and floorRequests are the defaults of Policy.MinTarget
	// and Policy.Floor, in multiples of the largest amount asked for so far.
	minTargetRequests = 128
	floorRequests     = 16
	// markRequests and markHorizon set how far a mark is raised ahead of the
	// outflow: by the larger of markRequests times the largest amount asked for
	// so far and the use in markHorizon at the average rate. The amounts of
	// waiting reservations are added to that.
	markRequests = 8
	markHorizon  = 2 * time.Second
)
