package escrow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrNotFound means that there is no such budget.
	ErrNotFound = errors.New("escrow: no such budget")
	// ErrConflict means that another write came first; nothing was written.
	ErrConflict = errors.New("escrow: book has changed")
	// ErrExhausted means that the budget can't pay for the request.
	ErrExhausted = errors.New("escrow: budget is exhausted")
	// ErrUnreachable means that the share can't pay for the request and that the
	// platform, which may have more, can't be reached.
	ErrUnreachable = errors.New("escrow: share is used up and the platform is out of reach")
)

// Store keeps the books. Any error but ErrMissing and ErrConflict means
// that the outcome is unknown: a write may or may not have taken effect.
type Store struct {
	// Read returns a book and the version for Write.
	Read func(ctx context.Context, budget string) (*Ledger, int64, error)
	// Write replaces a book if its version is unchanged.
	Write func(ctx context.Context, budget string, version int64, b *Ledger) error
	// Update, if it is set, takes the place of Read and Write for shares without
	// witnesses: it applies edit to the book as it stands, again after each
	// conflict, and writes the book if edit says so. Edit may run often, and only
	// what it did last counts.
	Update func(ctx context.Context, budget string, edit func(b *Ledger) (changed bool, err error)) error
}

// Mark is one share's new mark.
type Mark struct {
	ID    string // share ID
	Limit int64  // micro-units that may flow out in all
}

// Peers reach the other holders, by share ID or process ID. A nil function
// means that there are no peers for that.
type Peers struct {
	// Live returns the process IDs of live peers, the nearest first.
	Live func() []string
	// ZoneMembers returns the process IDs of the live holders among which each budget has
	// one that draws it for all, this process with them unless it is leaving.
	ZoneMembers func() []string
	// HomeKey names what budgets are drawn by the same process, nil for each by itself.
	HomeKey func(budget string) string
	// Request sends a plea to a process.
	Request func(ctx context.Context, process string, p TransferRequest) (TransferReply, error)
	// Deliver delivers a gift to the process of its receiver.
	Deliver func(ctx context.Context, process string, g Transfer) (TransferAck, error)
	// Witnesses returns the process IDs of three witnesses, outside the holder's zone
	// where there are any, fewer if there are not enough peers.
	Witnesses func() []string
	// RaiseMarks records marks at a witness. It returns the IDs that are sealed.
	RaiseMarks func(ctx context.Context, process string, marks []Mark) (sealed []string, err error)
	// Seal seals a share at a witness and returns its highest mark.
	Seal func(ctx context.Context, process, id string) (int64, error)
	// Silent reports whether a process has not been heard for so long that
	// winning back its shares is worth a try. It may be wrong.
	Silent func(process string) bool
}

// Policy says how a holder treats one budget.
type Policy struct {
	// OutageTolerance is how long a share should last at the present demand.
	OutageTolerance time.Duration
	// Unwitnessed is what may be spent without a witness, in micro-units. With 0 the
	// holder needs no witness, and nothing it leaves can be won back by peers.
	Unwitnessed int64
	// MinTarget is the least that a share aims to hold, whatever the demand, and
	// Floor what counts as nearly nothing, in micro-units. With 0 they follow
	// from the largest request.
	MinTarget, Floor int64
	// Fraction is how much of an equal part of what is left a share may hold ahead of
	// need, 0 for all of it. What a process holds is lost when it dies.
	Fraction float64
	// EmptyTTL is how long the platform's word that nothing is free is believed, 0 for
	// dryTime.
	EmptyTTL time.Duration
}

const (
	// callTimeout bounds one call to the platform or a peer.
	callTimeout = 2 * time.Second
	// requestTimeout bounds one plea to a peer while a request waits.
	requestTimeout = 150 * time.Millisecond
	// collectTimeout is how long a gatherer is asked to wait at a time. A message that
	// was lost costs no more than that and askTime.
	collectTimeout = 100 * time.Millisecond
	// resendInterval is the least time between two rounds of gifts that are repeated,
	// and repeatLarge the same where homes give for each request.
	resendInterval     = tickInterval
	zoneResendInterval = time.Second
	// tickInterval is the interval of Run.
	tickInterval = 250 * time.Millisecond
	// emptyTTL is how long the platform's word that nothing is free is believed.
	emptyTTL = 250 * time.Millisecond
	// scarceTTL is how long a budget counts as scarce after the platform had
	// nothing free; then this holder looks again by itself.
	scarceTTL = 5 * time.Second
	// shortfallInterval is how often a holder with much left reads the book for the wishes
	// of peers that can't reach it.
	shortfallInterval = 5 * time.Second
	// denialTTL is how long a gatherer's word is believed that a budget can't
	// pay for an amount.
	denialTTL = 20 * time.Millisecond
	// failureBackoff is how long after a failed call the platform is left alone.
	failureBackoff = 500 * time.Millisecond
	// maxPeersAsked is the most peers asked for one reservation.
	maxPeersAsked = 8
	// minTargetRequests is the least that a share aims to hold, and floorCount what
	// counts as nearly nothing, both in largest requests.
	minTargetRequests = 128
	floorRequests     = 16
	// markRequests and markTime size the part of a share that a witness has
	// cleared ahead: largest requests, and time at the present demand.
	markRequests = 8
	markHorizon  = 2 * time.Second
)
