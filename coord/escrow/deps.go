package escrow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrNotFound means that the budget does not exist.
	ErrNotFound = errors.New("escrow: budget does not exist")
	// ErrConflict means that the ledger changed since it was read; nothing was
	// written.
	ErrConflict = errors.New("escrow: ledger was changed by another write")
	// ErrExhausted means that the budget can't pay for the request.
	ErrExhausted = errors.New("escrow: budget is exhausted")
	// ErrUnreachable means that the share can't pay for the request and that
	// the store, which may have more, can't be reached.
	ErrUnreachable = errors.New("escrow: share is exhausted and the ledger store is unreachable")
)

// Store keeps the ledgers. Any error but ErrNotFound and ErrConflict means that
// the outcome is unknown: a write may or may not have taken effect.
type Store struct {
	// Read returns a ledger and the version to pass to Write.
	Read func(ctx context.Context, budget string) (*Ledger, int64, error)
	// Write replaces a ledger if its version is unchanged.
	Write func(ctx context.Context, budget string, version int64, l *Ledger) error
	// Update, if set, is used instead of Read and Write for shares without
	// witnesses. It applies edit to the current ledger, again after each
	// conflict, and writes the ledger if edit reports a change. Edit may run
	// several times; only its last run counts.
	Update func(ctx context.Context, budget string, edit func(l *Ledger) (changed bool, err error)) error
}

// Mark is an upper bound of a share's outflow, to be recorded at a witness.
type Mark struct {
	ID    string // share ID
	Limit int64  // upper bound of the total outflow, in micro-units
}

// Peers calls the other holders, addressed by process ID. A nil function means
// that the call is unavailable.
type Peers struct {
	// Live returns the process IDs of live peers, the nearest first.
	Live func() []string
	// ZoneMembers returns the process IDs of the live holders of this zone,
	// among which each budget has a home. It includes this process unless it is
	// leaving.
	ZoneMembers func() []string
	// HomeKey returns the key that is hashed to choose a budget's home; budgets
	// with the same key have the same home. If it is nil, the key is the
	// budget's name.
	HomeKey func(budget string) string
	// Request sends a transfer request to a process.
	Request func(ctx context.Context, process string, req TransferRequest) (TransferReply, error)
	// Deliver sends a transfer to the process of its receiver.
	Deliver func(ctx context.Context, process string, t Transfer) (TransferAck, error)
	// Witnesses returns the process IDs of three witnesses, outside the
	// holder's zone if possible, and fewer if there are not enough peers.
	Witnesses func() []string
	// RaiseMarks records marks at a witness. It returns the IDs of the shares
	// that are sealed there.
	RaiseMarks func(ctx context.Context, process string, marks []Mark) (sealed []string, err error)
	// Seal seals a share at a witness and returns its highest mark.
	Seal func(ctx context.Context, process, id string) (int64, error)
	// Silent reports whether a process has not been heard from for so long that
	// reclaiming its shares is worth trying. It may be wrong.
	Silent func(process string) bool
}

// Policy configures how a holder manages its share of one budget.
type Policy struct {
	// OutageTolerance is how long a share should last at the current demand.
	OutageTolerance time.Duration
	// Unwitnessed is the amount, in micro-units, that may be spent beyond the
	// mark that witnesses have acknowledged. With 0 the holder needs no
	// witnesses, and peers can't reclaim what it leaves behind.
	Unwitnessed int64
	// MinTarget is the least amount that a share aims to hold, whatever the
	// demand. Floor is the amount below which a share counts as nearly empty.
	// Both are in micro-units; with 0 they are derived from the largest
	// request.
	MinTarget, Floor int64
	// Fraction is the fraction of what is left that all shares together may hold
	// ahead of need, divided among them by demand; 0 for all of it in equal
	// parts. What a process holds is lost when it crashes.
	Fraction float64
	// EmptyTTL is how long a reading of the ledger that showed nothing free
	// stays valid, 0 for emptyTTL.
	EmptyTTL time.Duration
}

const (
	// callTimeout bounds one call to the store or a peer.
	callTimeout = 2 * time.Second
	// requestTimeout bounds one transfer request to a peer, besides the time that
	// the peer may take to collect the amount.
	requestTimeout = 150 * time.Millisecond
	// collectTimeout is how long a collector may take for one transfer request.
	// A lost message delays a reservation by at most this plus requestTimeout.
	collectTimeout = 100 * time.Millisecond
	// resendInterval is the least time between two rounds in which
	// unacknowledged transfers are sent again; zoneResendInterval replaces it
	// where homes send transfers for each request.
	resendInterval     = tickInterval
	zoneResendInterval = time.Second
	// tickInterval is the interval of the ticks of Run.
	tickInterval = 250 * time.Millisecond
	// emptyTTL is how long a reading of the ledger that showed nothing free
	// stays valid by default.
	emptyTTL = 250 * time.Millisecond
	// scarceTTL is how long a budget counts as scarce after a reading showed
	// nothing free. During that time Run hands what is left of a nearly empty
	// share over to the collector; after it, Run reads the ledger again. It is also
	// the pause in refills ahead of need after a grant that was too small to be
	// worth a write.
	scarceTTL = 5 * time.Second
	// shortfallInterval is how often a holder with much left reads the ledger
	// for the shortfalls of peers that can't reach it.
	shortfallInterval = 5 * time.Second
	// denialTTL is how long a peer's reply that the budget can't pay for an
	// amount stays valid.
	denialTTL = 20 * time.Millisecond
	// failureBackoff is how long no refill is tried after a call to the store
	// failed.
	failureBackoff = 500 * time.Millisecond
	// maxPeersAsked bounds the peers that are asked for one reservation.
	maxPeersAsked = 8
	// minTargetRequests and floorRequests are the defaults of Policy.MinTarget
	// and Policy.Floor, in multiples of the largest request.
	minTargetRequests = 128
	floorRequests     = 16
	// markRequests and markHorizon size how far a mark is raised ahead of the
	// outflow: by the larger of markRequests times the largest request and the
	// use in markHorizon at the average rate. The amounts of waiting reservations
	// come on top.
	markRequests = 8
	markHorizon  = 2 * time.Second
)
