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
	// ErrBroken means that a change would break rule S1 or S2.
	ErrBroken = errors.New("escrow: rule would be broken")
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
	raw rowText
}

type rowText struct {
	Granted  int64            `json:"granted,omitempty"`
	Returned int64            `json:"returned,omitempty"`
	Used     int64            `json:"used,omitempty"`
	Sent     map[string]int64 `json:"sent,omitempty"`
	Received map[string]int64 `json:"received,omitempty"`
	Seq      int64            `json:"seq"`
	State    State            `json:"state"`
	Guards   []string         `json:"guards,omitempty"`
	Alone    int64            `json:"alone,omitempty"`
	Bound    int64            `json:"bound,omitempty"`
	Wish     int64            `json:"wish,omitempty"`
	Rate     int64            `json:"rate,omitempty"` // micro-units per second, rounded
	At       int64            `json:"at"`             // the book's count of writes at the last one of this row
}

// Granted returns all that was ever drawn, in micro-units.
func (r *Row) Granted() int64 { return r.raw.Granted }

// Returned returns all that was ever given back.
func (r *Row) Returned() int64 { return r.raw.Returned }

// Used returns the settled use as last reported.
func (r *Row) Used() int64 { return r.raw.Used }

// Sent returns the transfers to other shares as last reported.
func (r *Row) Sent() int64 { return total(r.raw.Sent) }

// Received returns the transfers from other shares as last reported.
func (r *Row) Received() int64 { return total(r.raw.Received) }

// Seq returns the number of the holder's last write.
func (r *Row) Seq() int64 { return r.raw.Seq }

// State returns whether the row is open, sealed or closed.
func (r *Row) State() State { return r.raw.State }

// Guards returns the names of the witnesses.
func (r *Row) Guards() []string { return r.raw.Guards }

// Alone returns what the holder may spend without its witnesses.
func (r *Row) Alone() int64 { return r.raw.Alone }

// Bound returns, for a sealed row, the most that can have flowed out.
func (r *Row) Bound() int64 { return r.raw.Bound }

// Wish returns what the holder lacks, and peers that it can't reach have.
func (r *Row) Wish() int64 { return r.raw.Wish }

// Idle returns what the holder had left to spend when it last reported.
func (r *Row) Idle() int64 {
	return r.raw.Granted + r.Received() - r.raw.Returned - r.raw.Used - r.Sent()
}

func (r *Row) outstanding() int64 { return r.raw.Granted - r.raw.Returned }

// Book is one budget as the platform keeps it.
type Book struct {
	account string
	paid    int64
	spent   int64
	writes  int64 // by holders, to tell which row was written after which
	tops    map[string]int64
	rows    map[string]*Row
	changed bool // a row was sealed since the book was read
}

type bookText struct {
	Account string             `json:"account"`
	Paid    int64              `json:"paid"`
	Spent   int64              `json:"spent"`
	Writes  int64              `json:"writes"`
	Tops    map[string]int64   `json:"tops"`
	Rows    map[string]rowText `json:"rows"`
}

// NewBook returns an empty budget of a client account.
func NewBook(account string) *Book {
	return &Book{account: account, tops: map[string]int64{}, rows: map[string]*Row{}}
}

// Account returns the client account that owns the budget.
func (b *Book) Account() string { return b.account }

// Paid returns all that was paid in.
func (b *Book) Paid() int64 { return b.paid }

// Spent returns the use of shares that are closed and folded away.
func (b *Book) Spent() int64 { return b.spent }

// Holders returns the IDs of the shares with a row, sorted.
func (b *Book) Holders() []string { return slices.Sorted(maps.Keys(b.rows)) }

// Row returns the row of a share, nil if there is none.
func (b *Book) Row(id string) *Row { return b.rows[id] }

// Free returns what no share holds.
func (b *Book) Free() int64 {
	free := b.paid - b.spent
	for _, r := range b.rows {
		free -= r.outstanding()
	}
	return free
}

// TopUp pays amount in. Repeating a top-up with the same ID changes nothing.
func (b *Book) TopUp(id string, amount int64) error {
	if old, ok := b.tops[id]; ok {
		if old != amount {
			return ErrTopUp
		}
		return nil
	}
	if id == "" || amount <= 0 || amount > MaxPaid-b.paid {
		return ErrAmount
	}
	b.tops[id] = amount
	b.paid += amount
	return nil
}

// PayUp makes the budget count at least total as paid in. It reports whether that
// changed anything; what was paid in never falls.
func (b *Book) PayUp(total int64) (bool, error) {
	if total < 0 || total > MaxPaid {
		return false, ErrAmount
	}
	if total <= b.paid {
		return false, nil
	}
	b.paid = total
	return true, nil
}

// Attest ends the share of a holder that is dead, on an operator's word for what
// it has spent in all, and frees the rest. The spend can't be below what the
// holder reported, nor above what it had. A holder that lives after all ends the
// share when it next reads the book; what it spent meanwhile beyond the word is
// overspent, which is why only a person can say this.
func (b *Book) Attest(id string, spent int64) error {
	r := b.rows[id]
	if r == nil || r.raw.State == Closed {
		return ErrUnknownShare
	}
	had := r.raw.Granted + r.Received() - r.Sent()
	if r.raw.State == Sealed {
		had = r.raw.Bound - r.Sent()
	}
	if spent < r.raw.Used || spent > had {
		return errors.Wrapf(ErrAmount, "spent %d is not between %d and %d", spent, r.raw.Used, had)
	}
	r.raw.Used = spent
	r.raw.Returned = r.raw.Granted + r.Received() - r.Sent() - spent
	r.raw.State = Closed
	b.touch(r)
	b.fold()
	return b.Check()
}

// Check returns ErrBroken if rule S1 does not hold or a counter is not sane.
func (b *Book) Check() error {
	if b.paid < 0 || b.paid > MaxPaid {
		return errors.Wrapf(ErrBroken, "paid %d", b.paid)
	}
	if b.spent > MaxPaid || b.spent < -MaxPaid {
		return errors.Wrapf(ErrBroken, "spent %d", b.spent)
	}
	held := b.spent
	for id, r := range b.rows {
		if out := r.outstanding(); out > MaxPaid || out < -MaxPaid || held > math.MaxInt64/2 || held < math.MinInt64/2 {
			return errors.Wrapf(ErrBroken, "row %s holds %d", id, out)
		}
		held += r.outstanding()
		if r.raw.Granted < 0 || r.raw.Returned < 0 || r.raw.Used < 0 || r.raw.Granted > math.MaxInt64/2 {
			return errors.Wrapf(ErrBroken, "row %s has a counter out of range", id)
		}
	}
	if free := b.Free(); free < 0 {
		return errors.Wrapf(ErrBroken, "rows hold %d more than was paid", -free)
	}
	return nil
}

// MarshalJSON writes the book as the platform keeps it.
func (b *Book) MarshalJSON() ([]byte, error) {
	t := bookText{Account: b.account, Paid: b.paid, Spent: b.spent, Writes: b.writes, Tops: b.tops, Rows: map[string]rowText{}}
	for id, r := range b.rows {
		t.Rows[id] = r.raw
	}
	return json.Marshal(t)
}

// UnmarshalJSON reads a book and checks it.
func (b *Book) UnmarshalJSON(data []byte) error {
	t := bookText{}
	if err := json.Unmarshal(data, &t); err != nil {
		return errors.Wrap(err, "escrow: book")
	}
	*b = *NewBook(t.Account)
	b.paid, b.spent, b.writes = t.Paid, t.Spent, t.Writes
	maps.Copy(b.tops, t.Tops)
	for id, r := range t.Rows {
		b.rows[id] = &Row{raw: r}
	}
	return b.Check()
}

// open returns the row of a share, made if need be.
func (b *Book) open(id string) *Row {
	r := b.rows[id]
	if r == nil {
		r = &Row{raw: rowText{State: Open}}
		b.rows[id] = r
	}
	return r
}

// fairness bounds what a share draws ahead of need. The zero value lets a share
// come to hold an equal part of what is left, among all that are open.
type fairness struct {
	part   float64              // of what is left for all shares, dealt by demand; 0 for equal parts of all
	counts func(id string) bool // whether a row is of a holder that lives; nil counts all
}

// smallRate is the demand that a share counts with at least, as a part of the
// mean of all.
const smallRate = 0.1

// most returns what the share id may hold ahead of need.
func (f fairness) most(b *Book, id string) int64 {
	left, open := b.Free(), int64(0)
	var rates, rate float64
	for other, r := range b.rows {
		if r.raw.State != Open || other != id && f.counts != nil && !f.counts(other) {
			continue
		}
		open++
		left += max(r.Idle(), 0)
		rates += float64(r.raw.Rate)
	}
	r := b.rows[id]
	if r != nil {
		rate = float64(r.raw.Rate)
	}
	if r == nil || r.raw.Granted == 0 {
		open++
	}
	if f.part == 0 || rates == 0 {
		return left / open
	}
	least := smallRate * rates / float64(open)
	return int64(f.part * float64(left) * (rate + least) / (rates + least*float64(open)))
}

// draw grants the share id up to want from what is free, at least need as far
// as that goes. Beyond need no share comes to hold more than is fair. It returns
// what it granted.
func (b *Book) draw(id string, need, want int64, f fairness) int64 {
	fair := f.most(b, id)
	r := b.open(id)
	grant := min(max(need, min(want, fair-max(r.Idle(), 0))), b.Free(), math.MaxInt64/2-r.raw.Granted)
	if grant <= 0 {
		return 0
	}
	r.raw.Granted += grant
	return grant
}

// bury ends the rows that earlier processes of the same instance left: nobody can
// tell what they spent. Rows with witnesses are left to be won back.
func (b *Book) bury(process string) {
	for id, r := range b.rows {
		owner := ProcessOf(id)
		if r.raw.State != Open || owner == process || instanceOf(owner) != instanceOf(process) || len(r.raw.Guards) > 0 {
			continue
		}
		b.lose(id)
	}
}

// lose ends a row whose holder will say no more. All that it had counts as spent.
// Unlike a closed row it leaves nothing behind by which peers could take back what
// they gave it: the holder may have used that.
func (b *Book) lose(id string) {
	b.spent += b.rows[id].outstanding()
	delete(b.rows, id)
	b.changed = true
}

// seal wins back what the share id can't have used, given the most that can
// have flowed out of it, and returns the amount.
func (b *Book) seal(id string, bound int64) int64 {
	r := b.rows[id]
	back := max(r.raw.Granted-bound, r.raw.Returned)
	won := back - r.raw.Returned
	r.raw.Returned = back
	r.raw.State = Sealed
	r.raw.Bound = bound
	b.changed = true
	return won
}

// touch notes that a row is written.
func (b *Book) touch(r *Row) {
	b.writes++
	r.raw.At = b.writes
}

// fold removes the closed rows that no transfer can concern any more: every
// open row was written since, and so has taken in how far its transfers were
// credited, and no transfer is under way.
func (b *Book) fold() {
	for id, r := range b.rows {
		if r.raw.State == Closed && b.settled(id, r) {
			b.spent += r.outstanding()
			delete(b.rows, id)
		}
	}
}

func (b *Book) settled(id string, c *Row) bool {
	for other, r := range b.rows {
		switch {
		case other == id:
		case r.raw.State == Open && r.raw.At < c.raw.At:
			return false
		case r.raw.Sent[id] > c.raw.Received[other], c.raw.Sent[other] > r.raw.Received[id]:
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
