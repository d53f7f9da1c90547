package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/internal/fleet/pause"
	"jacinthladder.dev/internal/plat/object"
)

const (
	// ShardKind is the kind of the platform's objects that hold many budgets.
	ShardKind = "budgets"
	// gatherTime is how long a call waits for others that it can go with.
	gatherTime = 8 * time.Millisecond
	// recentTime is how old a reading may be that a write builds on.
	recentTime = 100 * time.Millisecond
	// glanceTime is how old a reading may be that shows that nothing is to be written:
	// the many budgets that have run dry are looked at together.
	glanceTime = 500 * time.Millisecond
	// callTime bounds the calls of one batch.
	callTime = 1500 * time.Millisecond
	// conflictTime is the most that the first conflict delays a batch; it doubles
	// with each, conflictShifts times, so that many writers spread out.
	conflictTime   = 20 * time.Millisecond
	conflictShifts = 4
	// groupTries bounds the conflicts that one batch of writes takes.
	groupTries = 10
)

// Shards keeps many budgets in each object of the platform, so that one call
// reads or writes them all. Calls that come at the same time go together. A
// budget's version is its own: a write conflicts only with another write of the
// same budget. Make one with NewGroups.
type Shards struct {
	store  *object.Store
	groups []*group
}

// NewShards returns count groups. All instances must agree on the count.
func NewShards(store *object.Store, count int) *Shards {
	g := &Shards{store: store}
	for i := range max(count, 1) {
		g.groups = append(g.groups, &group{store: store, name: fmt.Sprintf("group-%d", i)})
	}
	return g
}

// Store returns the groups as an escrow holder sees them.
func (g *Shards) Store() escrow.Store {
	return escrow.Store{Read: g.Read, Write: g.Write, Update: g.Update}
}

func (g *Shards) of(budget string) *group {
	return g.groups[xxhash.Sum64String(budget)%uint64(len(g.groups))]
}

// ShardName returns the name of the object that holds a budget.
func (g *Shards) ShardName(budget string) string { return g.of(budget).name }

// Read returns a budget and its version.
func (g *Shards) Read(ctx context.Context, budget string) (*escrow.Ledger, int64, error) {
	text, err := g.of(budget).read(ctx)
	if err != nil {
		return nil, 0, err
	}
	e, ok := text.Books[budget]
	if !ok {
		return nil, 0, errors.Wrap(escrow.ErrNotFound, budget)
	}
	b := &escrow.Ledger{}
	if err := json.Unmarshal(e.Book, b); err != nil {
		return nil, 0, errors.Wrapf(err, "budget %s", budget)
	}
	return b, e.Version, nil
}

// Write replaces a budget whose version is unchanged, 0 for a new one.
func (g *Shards) Write(ctx context.Context, budget string, version int64, b *escrow.Ledger) error {
	return g.of(budget).write(ctx, &change{budget: budget, edit: func(now int64, book *escrow.Ledger) (bool, error) {
		if now != version {
			return false, errors.Wrap(escrow.ErrConflict, budget)
		}
		*book = *b
		return true, nil
	}})
}

// Update applies edit to a budget as it stands, again after each conflict, and
// writes it if edit says so.
func (g *Shards) Update(ctx context.Context, budget string, edit func(b *escrow.Ledger) (bool, error)) error {
	return g.of(budget).write(ctx, &change{budget: budget, edit: func(now int64, b *escrow.Ledger) (bool, error) {
		if now == 0 {
			return false, errors.Wrap(escrow.ErrNotFound, budget)
		}
		return edit(b)
	}})
}

// EnsurePaid makes a budget count at least total as paid in. The budget is named after
// its account, and made if need be.
func (g *Shards) EnsurePaid(ctx context.Context, budget string, total int64) error {
	return g.of(budget).write(ctx, &change{budget: budget, edit: func(now int64, b *escrow.Ledger) (bool, error) {
		if now == 0 {
			*b = *escrow.NewLedger(budget)
		}
		changed, err := b.RaisePaid(total)
		return changed || now == 0, err
	}})
}

// groupText is a group as the platform keeps it.
type groupText struct {
	Books map[string]entryText `json:"books"`
}

type entryText struct {
	Version int64           `json:"version"`
	Book    json.RawMessage `json:"book"`
}

// change is an edit of one budget, which is told the budget's version, 0 if it does
// not exist.
type change struct {
	budget string
	edit   func(version int64, b *escrow.Ledger) (bool, error)
	err    error
}

// apply runs the edit on a group and reports whether the group has changed.
func (c *change) apply(text groupText) bool {
	e := text.Books[c.budget]
	b := &escrow.Ledger{}
	if e.Version > 0 {
		if c.err = json.Unmarshal(e.Book, b); c.err != nil {
			return false
		}
	}
	var changed bool
	if changed, c.err = c.edit(e.Version, b); c.err != nil || !changed {
		return false
	}
	data, err := json.Marshal(b)
	if err != nil {
		c.err = errors.Wrapf(err, "budget %s", c.budget)
		return false
	}
	text.Books[c.budget] = entryText{Version: e.Version + 1, Book: data}
	return true
}

// group is one object. Reads that wait share the next call, and so do writes.
type group struct {
	store *object.Store
	name  string

	mu      sync.Mutex
	reading *reading
	writing *writing
	busy    sync.Mutex // one batch of writes at a time

	text    groupText // as last read; its map is not changed
	version int64
	readAt  time.Time
}

type reading struct {
	done chan struct{}
	text groupText
	err  error
}

type writing struct {
	done    chan struct{}
	changes []*change
}

// read returns the group as it is after the call.
func (g *group) read(ctx context.Context) (groupText, error) {
	g.mu.Lock()
	r := g.reading
	if r == nil {
		r = &reading{done: make(chan struct{})}
		g.reading = r
		g.mu.Unlock()
		gather(ctx)
		g.mu.Lock()
		g.reading = nil // whoever comes from here on needs a later call
		g.mu.Unlock()
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTime)
		defer cancel()
		var version int64
		r.text, version, r.err = g.fetch(call)
		if r.err == nil {
			g.keep(r.text, version)
		}
		close(r.done)
		return r.text, r.err
	}
	g.mu.Unlock()
	select {
	case <-r.done:
		return r.text, r.err
	case <-ctx.Done():
		return groupText{}, ctx.Err()
	}
}

// write writes a change together with others, and returns how it ended. A batch
// holds one change of a budget: an edit must see only what is on the platform, not
// what another edit would make of it if its batch is written.
func (g *group) write(ctx context.Context, c *change) error {
	for {
		w, first, joined := g.join(c)
		if first {
			g.lead(ctx, w)
		}
		select {
		case <-w.done:
		case <-ctx.Done():
			return ctx.Err()
		}
		if joined {
			return c.err
		}
	}
}

// join adds a change to the batch that waits, a new one if there is none. First
// says that the caller is to write the batch, joined that the change is part of it.
func (g *group) join(c *change) (w *writing, first, joined bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.writing == nil {
		g.writing = &writing{done: make(chan struct{})}
		first = true
	}
	w = g.writing
	if slices.ContainsFunc(w.changes, func(o *change) bool { return o.budget == c.budget }) {
		return w, false, false
	}
	w.changes = append(w.changes, c)
	return w, first, true
}

// lead writes a batch once others had time to join it.
func (g *group) lead(ctx context.Context, w *writing) {
	gather(ctx)
	g.busy.Lock()
	defer g.busy.Unlock()
	g.mu.Lock()
	g.writing = nil
	g.mu.Unlock()
	g.commit(ctx, w.changes)
	close(w.done)
}

// commit applies changes to the group and writes it, again after each conflict.
// How each ended is in its err.
func (g *group) commit(ctx context.Context, changes []*change) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTime)
	defer cancel()
	if text, _, ok := g.recent(glanceTime); ok && !applyAll(changes, text) && !anyFailed(changes) {
		return
	}
	for try := range groupTries {
		text, version, err := g.latest(ctx, try == 0)
		if err != nil {
			fail(changes, err)
			return
		}
		if !applyAll(changes, text) {
			return
		}
		data, err := json.Marshal(text)
		if err != nil {
			fail(changes, err)
			return
		}
		written, err := g.store.Put(ctx, ShardKind, g.name, version, data)
		if err == nil {
			g.keep(text, written)
			return
		}
		if !errors.Is(err, object.ErrConflict) {
			fail(changes, err)
			return
		}
		pause.For(ctx, rand.N(conflictTime<<min(try, conflictShifts)))
	}
	fail(changes, escrow.ErrConflict)
}

// applyAll runs the edits on a group and reports whether it has changed.
func applyAll(changes []*change, text groupText) bool {
	changed := false
	for _, c := range changes {
		changed = c.apply(text) || changed
	}
	return changed
}

// anyFailed reports whether an edit was refused, which may be for the age of what it
// saw.
func anyFailed(changes []*change) bool {
	return slices.ContainsFunc(changes, func(c *change) bool { return c.err != nil })
}

// keep remembers the group as it is now.
func (g *group) keep(text groupText, version int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.text, g.version, g.readAt = text, version, time.Now()
}

// fail ends the changes that have not failed by themselves.
func fail(changes []*change, err error) {
	for _, c := range changes {
		if c.err == nil {
			c.err = err
		}
	}
}

// latest returns the group for a change: as it was read a moment ago, if it was and
// that will do, since a conflict shows that it was not recent enough.
func (g *group) latest(ctx context.Context, recent bool) (groupText, int64, error) {
	if text, version, ok := g.recent(recentTime); ok && recent {
		return text, version, nil
	}
	text, version, err := g.fetch(ctx)
	if err == nil && version > 0 {
		g.keep(groupText{Books: maps.Clone(text.Books)}, version)
	}
	return text, version, err
}

// recent returns a copy of the group as it was read or written, if that is not
// longer ago than age.
func (g *group) recent(age time.Duration) (groupText, int64, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.version == 0 || time.Since(g.readAt) >= age {
		return groupText{}, 0, false
	}
	return groupText{Books: maps.Clone(g.text.Books)}, g.version, true
}

func (g *group) fetch(ctx context.Context) (groupText, int64, error) {
	text := groupText{}
	o, err := g.store.Get(ctx, ShardKind, g.name)
	switch {
	case errors.Is(err, object.ErrNotFound):
	case err != nil:
		return text, 0, err
	default:
		if err := json.Unmarshal(o.Value(), &text); err != nil {
			return text, 0, errors.Wrapf(err, "budgets %s", g.name)
		}
	}
	if text.Books == nil {
		text.Books = map[string]entryText{}
	}
	return text, o.Version(), nil
}

// gather lets others join a call.
func gather(ctx context.Context) { pause.For(ctx, gatherTime) }
