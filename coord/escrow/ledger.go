package escrow

import (
	"encoding/json"
	"maps"
	"math"
	"slices"

	"github.com/cockroachdb/errors"
)

// MaxPaid is the most that can be paid into one budget, in micro-units. It
// leaves headroom in 64 bits for counters that only increase, and is exactly
// representable as a JSON number.
const MaxPaid = 1 << 53

var (
	// ErrAmount means that an amount is outside the range that the call allows for
	// the budget.
	ErrAmount = errors.New("escrow: amount out of range")
	// ErrTopUp means that a top-up ID was already used with another amount.
	ErrTopUp = errors.New("escrow: top-up ID is taken by another amount")
	// ErrInvariant means that a change would violate invariant S1 (the rows of a
	// ledger hold no more than was paid in) or S2 (a share spends no more than it
	// received).
	ErrInvariant = errors.New("escrow: rule would be broken")
)

// State tells whether the share of a row may still be spent, was reclaimed by a
// peer, or has ended.
type State string

const (
	// Open rows belong to a holder that may spend.
	Open State = "open"
	// Sealed rows were reclaimed by a peer because their holder was silent. The
	// outflow of the share can have reached the row's bound (see Row.Bound), and
	// the holder may still spend up to it.
	Sealed State = "sealed"
	// Closed rows belong to shares that have ended. Their counters are final; only
	// transfers that peers have yet to credit are outstanding.
	Closed State = "closed"
)

// Row is the record of one share in a ledger: its state, and its counters as
// its holder last reported them.
type Row struct {
	fields rowJSON
}

// rowJSON is the stored form of a row. The methods of Row describe the fields.
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
	WrittenAt   int64            `json:"at"`             // the ledger's write count at the last write of this row
}

// Granted returns the total that the share has drawn from the ledger, in
// micro-units.
func (r *Row) Granted() int64 { return r.fields.Granted }

// Returned returns the total that the share has given back to the ledger, in
// micro-units.
func (r *Row) Returned() int64 { return r.fields.Returned }

// Used returns the total cost of settled reservations, in micro-units, as last
// reported by the holder or stated by an operator.
func (r *Row) Used() int64 { return r.fields.Used }

// Sent returns the total of the transfers to other shares as last reported, in
// micro-units.
func (r *Row) Sent() int64 { return total(r.fields.Sent) }

// Received returns the total of the transfers from other shares as last
// reported, in micro-units.
func (r *Row) Received() int64 { return total(r.fields.Received) }

// Seq returns the sequence number of the holder's last write of this row.
func (r *Row) Seq() int64 { return r.fields.Seq }

// State returns whether the row is open, sealed or closed.
func (r *Row) State() State { return r.fields.State }

// Witnesses returns the process IDs of the share's witnesses, nil if it has
// none.
func (r *Row) Witnesses() []string { return r.fields.Witnesses }

// Unwitnessed returns the amount, in micro-units, that the holder may spend
// beyond the share's acknowledged mark.
func (r *Row) Unwitnessed() int64 { return r.fields.Unwitnessed }

// Bound returns the upper bound of a sealed share's outflow, in micro-units, 0
// for a row that was never sealed.
func (r *Row) Bound() int64 { return r.fields.Bound }

// Shortfall returns the amount, in micro-units, that the share lacks and that
// is left only at peers that its holder can't reach; 0 if it lacks nothing or
// other sources exist.
func (r *Row) Shortfall() int64 { return r.fields.Shortfall }

// Idle returns the unspent amount of the share when its holder last reported,
// in micro-units: granted and received, less returned, used and sent. Open
// reservations are part of it.
func (r *Row) Idle() int64 {
	return r.fields.Granted + r.Received() - r.fields.Returned - r.fields.Used - r.Sent()
}

// outstanding returns the amount that the share has drawn from the ledger and
// not returned, in micro-units.
func (r *Row) outstanding() int64 { return r.fields.Granted - r.fields.Returned }

// Ledger is the stored record of one budget: the total paid in, the rows of
// shares, and the total that the shares whose rows have been removed count as
// spent.
type Ledger struct {
	account   string
	paid      int64
	spent     int64
	writes    int64            // number of row writes so far, which orders the last writes of the rows
	topUps    map[string]int64 // amounts paid in, by top-up ID
	rows      map[string]*Row  // by share ID
	rowsEnded bool             // a row was sealed or written off since the ledger was read
}

// ledgerJSON is the stored form of a ledger, with the rows by share ID.
type ledgerJSON struct {
	Account string             `json:"account"`
	Paid    int64              `json:"paid"`
	Spent   int64              `json:"spent"`
	Writes  int64              `json:"writes"`
	TopUps  map[string]int64   `json:"tops"`
	Rows    map[string]rowJSON `json:"rows"`
}

// NewLedger returns the ledger of a new budget of a client account, with
// nothing paid in.
func NewLedger(account string) *Ledger {
	return &Ledger{account: account, topUps: map[string]int64{}, rows: map[string]*Row{}}
}

// Account returns the client account that owns the budget.
func (l *Ledger) Account() string { return l.account }

// Paid returns the total paid in, in micro-units.
func (l *Ledger) Paid() int64 { return l.paid }

// Spent returns the total that the shares whose rows have been removed count as
// spent, in micro-units. A closed share counts the amount that it used; a
// written-off share counts the whole amount that it had drawn and not returned.
func (l *Ledger) Spent() int64 { return l.spent }

// ShareIDs returns the IDs of the shares with a row, sorted.
func (l *Ledger) ShareIDs() []string { return slices.Sorted(maps.Keys(l.rows)) }

// Row returns the row of a share, nil if there is none.
func (l *Ledger) Row(id string) *Row { return l.rows[id] }

// Free returns the amount that shares can still draw, in micro-units: the total
// paid in, less Spent and less the amounts that the shares with a row have
// drawn and not returned.
func (l *Ledger) Free() int64 {
	free := l.paid - l.spent
	for _, r := range l.rows {
		free -= r.outstanding()
	}
	return free
}

// TopUp adds amount, in micro-units, to the total paid in. id identifies the
// top-up: repeating a top-up with the same ID and amount changes nothing, and
// another amount for that ID is refused with ErrTopUp. An empty ID, or an
// amount that is not positive or would raise the total above MaxPaid, is
// refused with ErrAmount.
func (l *Ledger) TopUp(id string, amount int64) error {
	if old, ok := l.topUps[id]; ok {
		if old != amount {
			return ErrTopUp
		}
		return nil
	}
	if id == "" || amount <= 0 || amount > MaxPaid-l.paid {
		return ErrAmount
	}
	l.topUps[id] = amount
	l.paid += amount
	return nil
}

// RaisePaid raises the total paid in to at least total micro-units and reports
// whether that changed anything. The total paid in never decreases. A total
// outside 0 to MaxPaid is refused with ErrAmount.
func (l *Ledger) RaisePaid(total int64) (bool, error) {
	if total < 0 || total > MaxPaid {
		return false, ErrAmount
	}
	if total <= l.paid {
		return false, nil
	}
	l.paid = total
	return true, nil
}

// ForceClose ends the share of a dead holder and frees the unspent amount of
// the share. The operator states as spent the total that the holder has spent.
// If that is less than the holder reported or more than the share had,
// ForceClose returns ErrAmount. If the share has no row or is closed, it
// returns ErrUnknownShare.
//
// A holder that is alive after all stops using the share when it next reads the
// ledger. Whatever it spent meanwhile beyond the stated amount is an overspend;
// therefore only an operator may force-close a share.
func (l *Ledger) ForceClose(id string, spent int64) error {
	r := l.rows[id]
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
	l.touch(r)
	l.prune()
	return l.Check()
}

// Check returns an error that wraps ErrInvariant if the rows hold more than was
// paid in (invariant S1) or a counter is out of range.
func (l *Ledger) Check() error {
	if l.paid < 0 || l.paid > MaxPaid {
		return errors.Wrapf(ErrInvariant, "paid-in total %d is out of range", l.paid)
	}
	if l.spent > MaxPaid || l.spent < -MaxPaid {
		return errors.Wrapf(ErrInvariant, "spent total %d is out of range", l.spent)
	}
	allocated := l.spent
	for id, r := range l.rows {
		if outstanding := r.outstanding(); outstanding > MaxPaid || outstanding < -MaxPaid || allocated > math.MaxInt64/2 || allocated < math.MinInt64/2 {
			return errors.Wrapf(ErrInvariant, "row %s: outstanding amount %d is out of range", id, outstanding)
		}
		allocated += r.outstanding()
		if r.fields.Granted < 0 || r.fields.Returned < 0 || r.fields.Used < 0 || r.fields.Granted > math.MaxInt64/2 {
			return errors.Wrapf(ErrInvariant, "row %s has a counter out of range", id)
		}
	}
	if free := l.Free(); free < 0 {
		return errors.Wrapf(ErrInvariant, "rows hold %d more than was paid in", -free)
	}
	return nil
}

// MarshalJSON returns the ledger in its stored form.
func (l *Ledger) MarshalJSON() ([]byte, error) {
	t := ledgerJSON{Account: l.account, Paid: l.paid, Spent: l.spent, Writes: l.writes, TopUps: l.topUps, Rows: map[string]rowJSON{}}
	for id, r := range l.rows {
		t.Rows[id] = r.fields
	}
	return json.Marshal(t)
}

// UnmarshalJSON decodes a stored ledger and runs Check on it. It fails with
// ErrInvariant if the rows hold more than was paid in or a counter is out of
// range.
func (l *Ledger) UnmarshalJSON(data []byte) error {
	t := ledgerJSON{}
	if err := json.Unmarshal(data, &t); err != nil {
		return errors.Wrap(err, "escrow: decode ledger")
	}
	*l = *NewLedger(t.Account)
	l.paid, l.spent, l.writes = t.Paid, t.Spent, t.Writes
	maps.Copy(l.topUps, t.TopUps)
	for id, r := range t.Rows {
		l.rows[id] = &Row{fields: r}
	}
	return l.Check()
}

// rowFor returns the row of a share and creates it if necessary.
func (l *Ledger) rowFor(id string) *Row {
	r := l.rows[id]
	if r == nil {
		r = &Row{fields: rowJSON{State: Open}}
		l.rows[id] = r
	}
	return r
}

// fairness bounds the amount that a share draws ahead of need. The unspent
// budget is the free amount of the ledger plus the idle amounts of the share's
// own row, if it is open, and of the open rows of live holders. With the zero value of fairness, each open
// row may hold an equal part of the unspent budget.
type fairness struct {
	fraction float64              // fraction of the unspent budget that all shares may hold together, in proportion to their rates of spending; with 0 they may hold all of it, in equal parts
	live     func(id string) bool // reports whether the holder of another share, given by its ID, is alive, so that its open row counts; nil means that all open rows count
}

// minRateFraction is the fraction of the shares' mean rate of spending that is
// added to the rate of each share, so that a share without use may hold an
// amount too.
const minRateFraction = 0.1

// limit returns the most that the share id may hold ahead of need, in
// micro-units. If no share has a rate yet, the shares get equal parts of the
// whole unspent budget.
func (f fairness) limit(l *Ledger, id string) int64 {
	left, open := l.Free(), int64(0)
	var rates, rate float64
	for other, r := range l.rows {
		if r.fields.State != Open || other != id && f.live != nil && !f.live(other) {
			continue
		}
		open++
		left += max(r.Idle(), 0)
		rates += float64(r.fields.Rate)
	}
	r := l.rows[id]
	if r != nil {
		rate = float64(r.fields.Rate)
	}
	if r == nil || r.fields.Granted == 0 {
		open++
	}
	if f.fraction == 0 || rates == 0 {
		return left / open
	}
	minRate := minRateFraction * rates / float64(open)
	return int64(f.fraction * float64(left) * (rate + minRate) / (rates + minRate*float64(open)))
}

// draw grants the share id up to want from the free amount of the ledger, and
// at least need if that much is free. Beyond need, it grants only as much as
// keeps the idle amount of the share within its limit, f.limit. It returns the
// granted amount, in micro-units.
func (l *Ledger) draw(id string, need, want int64, f fairness) int64 {
	fair := f.limit(l, id)
	r := l.rowFor(id)
	grant := min(max(need, min(want, fair-max(r.Idle(), 0))), l.Free(), math.MaxInt64/2-r.fields.Granted)
	if grant <= 0 {
		return 0
	}
	r.fields.Granted += grant
	return grant
}

// restoreGrant raises the total that the row r has drawn to granted, which the ledger has
// recorded before, as far as the ledger has it free. A row is lower if the store came back
// from an older copy: what it then shows as free has been granted. It reports whether that
// changed anything.
func (l *Ledger) restoreGrant(r *Row, granted int64) bool {
	lost := min(granted-r.fields.Granted, l.Free())
	if lost <= 0 {
		return false
	}
	r.fields.Granted += lost
	return true
}

// writeOffPredecessors writes off the open rows that earlier processes of the
// same instance left, since the amounts that those processes spent are unknown.
// Rows with witnesses stay, to be reclaimed. process is the ID of the
// instance's current process. It returns what was written off.
func (l *Ledger) writeOffPredecessors(process string) []WriteOff {
	var ended []WriteOff
	for id, r := range l.rows {
		owner := ProcessOf(id)
		if r.fields.State != Open || owner == process || instanceOf(owner) != instanceOf(process) || len(r.fields.Witnesses) > 0 {
			continue
		}
		ended = append(ended, WriteOff{Share: id, Outstanding: r.outstanding(), Idle: max(r.Idle(), 0)})
		l.writeOff(id)
	}
	return ended
}

// WriteOff tells about the share of a crashed process whose row was removed from
// the ledger of its budget. Amounts are in micro-units.
type WriteOff struct {
	Share       string // share ID
	Outstanding int64  // drawn and not returned, counted as spent from now on
	Idle        int64  // unspent when the process last wrote the row, at least 0; see Row.Idle
}

// writeOff removes the row of a holder that will not write again, and counts
// the amount that the row had drawn and not returned as spent. Unlike a closed
// row, a removed row leaves no record by which peers could take back their
// transfers to the share: the holder may have spent those.
func (l *Ledger) writeOff(id string) {
	l.spent += l.rows[id].outstanding()
	delete(l.rows, id)
	l.rowsEnded = true
}

// seal marks the row of share id as sealed and frees the part of the drawn
// amount that exceeds bound, an upper bound of the share's outflow. It returns
// the freed amount.
func (l *Ledger) seal(id string, bound int64) int64 {
	r := l.rows[id]
	returned := max(r.fields.Granted-bound, r.fields.Returned)
	reclaimed := returned - r.fields.Returned
	r.fields.Returned = returned
	r.fields.State = Sealed
	r.fields.Bound = bound
	l.rowsEnded = true
	return reclaimed
}

// touch gives a row the next write number of the ledger. prune compares these
// numbers to find out which of two rows was written later.
func (l *Ledger) touch(r *Row) {
	l.writes++
	r.fields.WrittenAt = l.writes
}

// prune removes the closed rows that no transfer can affect any more, and adds
// the amounts that they had drawn and not returned to the spent total. Such a
// row satisfies two conditions. First, every open row was written after the
// closed one, so the holders of the open rows know what the closed share
// credited. Second, no transfer from or to the closed share is in flight.
func (l *Ledger) prune() {
	for id, r := range l.rows {
		if r.fields.State == Closed && l.prunable(id, r) {
			l.spent += r.outstanding()
			delete(l.rows, id)
		}
	}
}

// prunable reports whether prune may remove c, the closed row of share id: no
// transfer can affect it any more (see prune).
func (l *Ledger) prunable(id string, c *Row) bool {
	for other, r := range l.rows {
		switch {
		case other == id:
		case r.fields.State == Open && r.fields.WrittenAt < c.fields.WrittenAt:
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
