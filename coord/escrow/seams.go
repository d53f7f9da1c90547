package escrow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrMissing means that there is no such budget.
	ErrMissing = errors.New("escrow: no such budget")
	// ErrConflict means that another write came first; nothing was written.
	ErrConflict = errors.New("escrow: book has changed")
	// ErrExhausted means that the budget can't pay for the request.
	ErrExhausted = errors.New("escrow: budget is exhausted")
	// ErrCutOff means that the share can't pay for the request and that the
	// platform, which may have more, can't be reached.
	ErrCutOff = errors.New("escrow: share is used up and the platform is out of reach")
)

// Platform keeps the books. Any error but ErrMissing and ErrConflict means
// that the outcome is unknown: a write may or may not have taken effect.
type Platform struct {
	// Read returns a book and the version for Write.
	Read func(ctx context.Context, budget string) (*Book, int64, error)
	// Write replaces a book if its version is unchanged.
	Write func(ctx context.Context, budget string, version int64, b *Book) error
	// Update, if it is set, takes the place of Read and Write for shares without
	// witnesses: it applies edit to the book as it stands, again after each
	// conflict, and writes the book if edit says so. Edit may run often, and only
	// what it did last counts.
	Update func(ctx context.Context, budget string, edit func(b *Book) (changed bool, err error)) error
}

// Raised is one share's new mark.
type Raised struct {
	ID    string // share ID
	Limit int64  // micro-units that may flow out in all
}

// Peers reach the other holders, by share ID or process ID. A nil function
// means that there are no peers for that.
type Peers struct {
	// Near returns the process IDs of live peers, the nearest first.
	Near func() []string
	// Mates returns the process IDs of the live holders among which each budget has
	// one that draws it for all, this process with them unless it is leaving.
	Mates func() []string
	// Kin names what budgets are drawn by the same process, nil for each by itself.
	Kin func(budget string) string
	// Ask sends a plea to a process.
	Ask func(ctx context.Context, process string, p Plea) (Reply, error)
	// Give delivers a gift to the process of its receiver.
	Give func(ctx context.Context, process string, g Gift) (Receipt, error)
	// Guards returns the process IDs of three witnesses, outside the holder's zone
	// where there are any, fewer if there are not enough peers.
	Guards func() []string
	// Raise records marks at a witness. It returns the IDs that are sealed.
	Raise func(ctx context.Context, process string, marks []Raised) (sealed []string, err error)
	// Seal seals a share at a witness and returns its highest mark.
	Seal func(ctx context.Context, process, id string) (int64, error)
	// Silent reports whether a process has not been heard for so long that
	// winning back its shares is worth a try. It may be wrong.
	Silent func(process string) bool
}

// Policy says how a holder treats one budget.
type Policy struct {
	// Endure is how long a share should last at the present demand.
	Endure time.Duration
	// Alone is what may be spent without a witness, in micro-units. With 0 the
	// holder needs no witness, and nothing it leaves can be won back by peers.
	Alone int64
	// Start is the least that a share aims to hold, whatever the demand, and
	// Floor what counts as nearly nothing, in micro-units. With 0 they follow
	// from the largest request.
	Start, Floor int64
	// Part is how much of an equal part of what is left a share may hold ahead of
	// need, 0 for all of it. What a process holds is lost when it dies.
	Part float64
	// Dry is how long the platform's word that nothing is free is believed, 0 for
	// dryTime.
	Dry time.Duration
}

const (
	// callTime bounds one call to the platform or a peer.
	callTime = 2 * time.Second
	// askTime bounds one plea to a peer while a request waits.
	askTime = 150 * time.Millisecond
	// turnTime is how long a gatherer is asked to wait at a time. A message that
	// was lost costs no more than that and askTime.
	turnTime = 100 * time.Millisecond
	// repeatTime is the least time between two rounds of gifts that are repeated,
	// and repeatLarge the same where homes give for each request.
	repeatTime  = tickTime
	repeatLarge = time.Second
	// tickTime is the interval of Run.
	tickTime = 250 * time.Millisecond
	// dryTime is how long the platform's word that nothing is free is believed.
	dryTime = 250 * time.Millisecond
	// scarceTime is how long a budget counts as scarce after the platform had
	// nothing free; then this holder looks again by itself.
	scarceTime = 5 * time.Second
	// lookTime is how often a holder with much left reads the book for the wishes
	// of peers that can't reach it.
	lookTime = 5 * time.Second
	// denyTime is how long a gatherer's word is believed that a budget can't
	// pay for an amount.
	denyTime = 20 * time.Millisecond
	// awayTime is how long after a failed call the platform is left alone.
	awayTime = 500 * time.Millisecond
	// askLimit is the most peers asked for one reservation.
	askLimit = 8
	// startCount is the least that a share aims to hold, and floorCount what
	// counts as nearly nothing, both in largest requests.
	startCount = 128
	floorCount = 16
	// markCount and markTime size the part of a share that a witness has
	// cleared ahead: largest requests, and time at the present demand.
	markCount = 8
	markTime  = 2 * time.Second
)
