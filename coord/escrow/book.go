package escrow

import (
	"encoding/json"
	"maps"
	"math"
	"slices"

	"github.com/cockroachdb/errors"
)

// MaxPaid is the most that can be paid into one budget, in micro-units. It
// leaves room for counters that only rise, and is exact in JSON.
const MaxPaid = 1 << 53

var (
	// ErrAmount means an amount that is not above 0 or does not fit the budget.
	ErrAmount = errors.New("escrow: amount out of range")
	// ErrTopUp means a top-up ID that was used before for another amount.
	ErrTopUp = errors.New("escrow: top-up ID is taken by another amount")
	// ErrInvariant means that a change would break rule S1 or S2.
	ErrInvariant = errors.New("escrow: rule would be broken")
)

// State is the state of a row.
type State string

const (
	// Open rows belong to a holder that may spend.
	Open State = "open"
	// Sealed rows have been won back; the holder may spend up to the bound.
	Sealed State = "sealed"
	// Closed rows are settled but for transfers that peers have yet to credit.
	Closed State = "closed"
)

// Row is what the platform knows of one share.
type Row struct {
	fields rowJSON
}

type rowJSON struct {
	Granted     int64            `json:"granted,omitempty"`
	Returned    int64            `json:"returned,omitempty"`
	Used        int64            `json:"used,omitempty"`
	Sent        map[string]int64 `json:"sent,omitempty"`
	Received    map[string]int64 `json:"received,omitempty"`
	Seq         int64            `json:"seq"`
	State       State            `json:"state"`
	Witnesses   []string         `json:"guards,omitempty"`
	Unwitnessed int64            `json:"alone,omitempty"`
	Bound       int64            `json:"bound,omitempty"`
	Shortfall   int64            `json:"wish,omitempty"`
	Rate        int64            `json:"rate,omitempty"` // micro-units per second, rounded
	At          int64            `json:"at"`             // the book's count of writes at the last one of this row
}

// Granted returns all that was ever drawn, in micro-units.
func (r *Row) Granted() int64 { return r.fields.Granted }

// Returned returns all that was ever given back.
func (r *Row) Returned() int64 { return r.fields.Returned }

// Used returns the settled use as last reported.
func (r *Row) Used() int64 { return r.fields.Used }

// Sent returns the transfers to other shares as last reported.
func (r *Row) Sent() int64 { return total(r.fields.Sent) }

// Received returns the transfers from other shares as last reported.
func (r *Row) Received() int64 { return total(r.fields.Received) }

// Seq returns the number of the holder's last write.
func (r *Row) Seq() int64 { return r.fields.Seq }

// State returns whether the row is open, sealed or closed.
func (r *Row) State() State { return r.fields.State }

// Witnesses returns the names of the witnesses.
func (r *Row) Witnesses() []string { return r.fields.Witnesses }

// Unwitnessed returns what the holder may spend without its witnesses.
func (r *Row) Unwitnessed() int64 { return r.fields.Unwitnessed }

// Bound returns, for a sealed row, the most that can have flowed out.
func (r *Row) Bound() int64 { return r.fields.Bound }

// Shortfall returns what the holder lacks, and peers that it can't reach have.
func (r *Row) Shortfall() int64 { return r.fields.Shortfall }

// Idle returns what the holder had left to spend when it last reported.
func (r *Row) Idle() int64 {
	return r.fields.Granted + r.Received() - r.fields.Returned - r.fields.Used - r.Sent()
}

func (r *Row) outstanding() int64 { return r.fields.Granted - r.fields.Returned }

// Ledger is one budget as the platform keeps it.
type Ledger struct {
	account     string
	paid        int64
	spent       int64
	writes      int64 // by holders, to tell which row was written after which
	topUps      map[string]int64
	rows        map[string]*Row
	rowsRemoved bool // a row was sealed since the book was read
}

type ledgerJSON struct {
	Account string             `json:"account"`
	Paid    int64              `json:"paid"`
	Spent   int64              `json:"spent"`
	Writes  int64              `json:"writes"`
	Tops    map[string]int64   `json:"tops"`
	Rows    map[string]rowJSON `json:"rows"`
}

// NewLedger returns an empty budget of a client account.
func NewLedger(account string) *Ledger {
	return &Ledger{account: account, topUps: map[string]int64{}, rows: map[string]*Row{}}
}

// Account returns the client account that owns the budget.
func (b *Ledger) Account() string { return b.account }

// Paid returns all that was paid in.
func (b *Ledger) Paid() int64 { return b.paid }

// Spent returns the use of shares that are closed and folded away.
func (b *Ledger) Spent() int64 { return b.spent }

// ShareIDs returns the IDs of the shares with a row, sorted.
func (b *Ledger) ShareIDs() []string { return slices.Sorted(maps.Keys(b.rows)) }

// Row returns the row of a share, nil if there is none.
func (b *Ledger) Row(id string) *Row { return b.rows[id] }

// Free returns what no share holds.
func (b *Ledger) Free() int64 {
	free := b.paid - b.spent
	for _, r := range b.rows {
		free -= r.outstanding()
	}
	return free
}

// TopUp pays amount in. Repeating a top-up with the same ID changes nothing.
func (b *Ledger) TopUp(id string, amount int64) error {
	if old, ok := b.topUps[id]; ok {
		if old != amount {
			return ErrTopUp
		}
		return nil
	}
	if id == "" || amount <= 0 || amount > MaxPaid-b.paid {
		return ErrAmount
	}
	b.topUps[id] = amount
	b.paid += amount
	return nil
}

// RaisePaid makes the budget count at least total as paid in. It reports whether that
// changed anything; what was paid in never falls.
func (b *Ledger) RaisePaid(total int64) (bool, error) {
	if total < 0 || total > MaxPaid {
		return false, ErrAmount
	}
	if total <= b.paid {
		return false, nil
	}
	b.paid = total
	return true, nil
}

// ForceClose ends the share of a holder that is dead, on an operator's word for what
// it has spent in all, and frees the rest. The spend can't be below what the
// holder reported, nor above what it had. A holder that lives after all ends the
// share when it next reads the book; what it spent meanwhile beyond the word is
// overspent, which is why only a person can say this.
func (b *Ledger) ForceClose(id string, spent int64) error {
	r := b.rows[id]
	if r == nil || r.fields.State == Closed {
		return ErrUnknownShare
	}
	had := r.fields.Granted + r.Received() - r.Sent()
	if r.fields.State == Sealed {
		had = r.fields.Bound - r.Sent()
	}
	if spent < r.fields.Used || spent > had {
		return errors.Wrapf(ErrAmount, "spent %d is not between %d and %d", spent, r.fields.Used, had)
	}
	r.fields.Used = spent
	r.fields.Returned = r.fields.Granted + r.Received() - r.Sent() - spent
	r.fields.State = Closed
	b.touch(r)
	b.prune()
	return b.Check()
}

// Check returns ErrBroken if rule S1 does not hold or a counter is not sane.
func (b *Ledger) Check() error {
	if b.paid < 0 || b.paid > MaxPaid {
		return errors.Wrapf(ErrInvariant, "paid %d", b.paid)
	}
	if b.spent > MaxPaid || b.spent < -MaxPaid {
		return errors.Wrapf(ErrInvariant, "spent %d", b.spent)
	}
	held := b.spent
	for id, r := range b.rows {
		if out := r.outstanding(); out > MaxPaid || out < -MaxPaid || held > math.MaxInt64/2 || held < math.MinInt64/2 {
			return errors.Wrapf(ErrInvariant, "row %s holds %d", id, out)
		}
		held += r.outstanding()
		if r.fields.Granted < 0 || r.fields.Returned < 0 || r.fields.Used < 0 || r.fields.Granted > math.MaxInt64/2 {
			return errors.Wrapf(ErrInvariant, "row %s has a counter out of range", id)
		}
	}
	if free := b.Free(); free < 0 {
		return errors.Wrapf(ErrInvariant, "rows hold %d more than was paid", -free)
	}
	return nil
}

// MarshalJSON writes the book as the platform keeps it.
func (b *Ledger) MarshalJSON() ([]byte, error) {
	t := ledgerJSON{Account: b.account, Paid: b.paid, Spent: b.spent, Writes: b.writes, Tops: b.topUps, Rows: map[string]rowJSON{}}
	for id, r := range b.rows {
		t.Rows[id] = r.fields
	}
	return json.Marshal(t)
}

// UnmarshalJSON reads a book and checks it.
func (b *Ledger) UnmarshalJSON(data []byte) error {
	t := ledgerJSON{}
	if err := json.Unmarshal(data, &t); err != nil {
		return errors.Wrap(err, "escrow: book")
	}
	*b = *NewLedger(t.Account)
	b.paid, b.spent, b.writes = t.Paid, t.Spent, t.Writes
	maps.Copy(b.topUps, t.Tops)
	for id, r := range t.Rows {
		b.rows[id] = &Row{fields: r}
	}
	return b.Check()
}

// rowFor returns the row of a share, made if need be.
func (b *Ledger) rowFor(id string) *Row {
	r := b.rows[id]
	if r == nil {
		r = &Row{fields: rowJSON{State: Open}}
		b.rows[id] = r
	}
	return r
}

// fairness bounds what a share draws ahead of need. The zero value lets a share
// come to hold an equal part of what is left, among all that are open.
type fairness struct {
	fraction float64              // of what is left for all shares, dealt by demand; 0 for equal parts of all
	live     func(id string) bool // whether a row is of a holder that lives; nil counts all
}

// minRateFraction is the demand that a share counts with at least, as a part of the
// mean of all.
const minRateFraction = 0.1

// limit returns what the share id may hold ahead of need.
func (f fairness) limit(b *Ledger, id string) int64 {
	left, open := b.Free(), int64(0)
	var rates, rate float64
	for other, r := range b.rows {
		if r.fields.State != Open || other != id && f.live != nil && !f.live(other) {
			continue
		}
		open++
		left += max(r.Idle(), 0)
		rates += float64(r.fields.Rate)
	}
	r := b.rows[id]
	if r != nil {
		rate = float64(r.fields.Rate)
	}
	if r == nil || r.fields.Granted == 0 {
		open++
	}
	if f.fraction == 0 || rates == 0 {
		return left / open
	}
	least := minRateFraction * rates / float64(open)
	return int64(f.fraction * float64(left) * (rate + least) / (rates + least*float64(open)))
}

// draw grants the share id up to want from what is free, at least need as far
// as that goes. Beyond need no share comes to hold more than is fair. It returns
// what it granted.
func (b *Ledger) draw(id string, need, want int64, f fairness) int64 {
	fair := f.limit(b, id)
	r := b.rowFor(id)
	grant := min(max(need, min(want, fair-max(r.Idle(), 0))), b.Free(), math.MaxInt64/2-r.fields.Granted)
	if grant <= 0 {
		return 0
	}
	r.fields.Granted += grant
	return grant
}

// writeOffPredecessors ends the rows that earlier processes of the same instance left: nobody can
// tell what they spent. Rows with witnesses are left to be won back.
func (b *Ledger) writeOffPredecessors(process string) {
	for id, r := range b.rows {
		owner := ProcessOf(id)
		if r.fields.State != Open || owner == process || instanceOf(owner) != instanceOf(process) || len(r.fields.Witnesses) > 0 {
			continue
		}
		b.writeOff(id)
	}
}

// writeOff ends a row whose holder will say no more. All that it had counts as spent.
// Unlike a closed row it leaves nothing behind by which peers could take back what
// they gave it: the holder may have used that.
func (b *Ledger) writeOff(id string) {
	b.spent += b.rows[id].outstanding()
	delete(b.rows, id)
	b.rowsRemoved = true
}

// seal wins back what the share id can't have used, given the most that can
// have flowed out of it, and returns the amount.
func (b *Ledger) seal(id string, bound int64) int64 {
	r := b.rows[id]
	back := max(r.fields.Granted-bound, r.fields.Returned)
	won := back - r.fields.Returned
	r.fields.Returned = back
	r.fields.State = Sealed
	r.fields.Bound = bound
	b.rowsRemoved = true
	return won
}

// touch notes that a row is written.
func (b *Ledger) touch(r *Row) {
	b.writes++
	r.fields.At = b.writes
}

// prune removes the closed rows that no transfer can concern any more: every
// open row was written since, and so has taken in how far its transfers were
// credited, and no transfer is under way.
func (b *Ledger) prune() {
	for id, r := range b.rows {
		if r.fields.State == Closed && b.prunable(id, r) {
			b.spent += r.outstanding()
			delete(b.rows, id)
		}
	}
}

func (b *Ledger) prunable(id string, c *Row) bool {
	for other, r := range b.rows {
		switch {
		case other == id:
		case r.fields.State == Open && r.fields.At < c.fields.At:
			return false
		case r.fields.Sent[id] > c.fields.Received[other], c.fields.Sent[other] > r.fields.Received[id]:
			return false
		}
	}
	return true
}

func total(amounts map[string]int64) int64 {
	var sum int64
	for _, a := range amounts {
		sum += a
	}
	return sum
}
