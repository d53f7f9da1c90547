package books

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/internal/plat/object"
)

const (
	// GroupKind is the kind of the platform's objects that hold many budgets.
	GroupKind = "budgets"
	// gatherTime is how long a call waits for others that it can go with.
	gatherTime = 8 * time.Millisecond
	// recentTime is how old a reading may be that a write builds on.
	recentTime = 100 * time.Millisecond
	// callTime bounds the calls of one batch.
	callTime = 1500 * time.Millisecond
	// groupTries bounds the conflicts that one batch of writes takes.
	groupTries = 10
)

// Groups keeps many budgets in each object of the platform, so that one call
// reads or writes them all. Calls that come at the same time go together. A
// budget's version is its own: a write conflicts only with another write of the
// same budget. Make one with NewGroups.
type Groups struct {
	store  *object.Store
	groups []*group
}

// NewGroups returns count groups. All instances must agree on the count.
func NewGroups(store *object.Store, count int) *Groups {
	g := &Groups{store: store}
	for i := range max(count, 1) {
		g.groups = append(g.groups, &group{store: store, name: fmt.Sprintf("group-%d", i)})
	}
	return g
}

// Platform returns the groups as an escrow holder sees them.
func (g *Groups) Platform() escrow.Platform {
	return escrow.Platform{Read: g.Read, Write: g.Write}
}

func (g *Groups) of(budget string) *group {
	return g.groups[xxhash.Sum64String(budget)%uint64(len(g.groups))]
}

// Read returns a budget and its version.
func (g *Groups) Read(ctx context.Context, budget string) (*escrow.Book, int64, error) {
	text, err := g.of(budget).read(ctx)
	if err != nil {
		return nil, 0, err
	}
	e, ok := text.Books[budget]
	if !ok {
		return nil, 0, errors.Wrap(escrow.ErrMissing, budget)
	}
	b := &escrow.Book{}
	if err := json.Unmarshal(e.Book, b); err != nil {
		return nil, 0, errors.Wrapf(err, "budget %s", budget)
	}
	return b, e.Version, nil
}

// Write replaces a budget whose version is unchanged, 0 for a new one.
func (g *Groups) Write(ctx context.Context, budget string, version int64, b *escrow.Book) error {
	data, err := json.Marshal(b)
	if err != nil {
		return errors.Wrapf(err, "budget %s", budget)
	}
	return g.of(budget).write(ctx, change{budget: budget, version: version, book: data})
}

// PayUp makes a budget count at least total as paid in, and makes it if need be.
func (g *Groups) PayUp(ctx context.Context, budget string, total int64) error {
	return payUp(ctx, g.Platform(), budget, total)
}

// groupText is a group as the platform keeps it.
type groupText struct {
	Books map[string]entryText `json:"books"`
}

type entryText struct {
	Version int64           `json:"version"`
	Book    json.RawMessage `json:"book"`
}

type change struct {
	budget  string
	version int64
	book    json.RawMessage
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
	changes []change
	errs    []error
}

// read returns the group as it is after the call.
func (g *group) read(ctx context.Context) (groupText, error) {
	g.mu.Lock()
	r := g.reading
	if r == nil {
		r = &reading{done: make(chan struct{})}
		g.reading = r
		g.mu.Unlock()
		pause(ctx)
		g.mu.Lock()
		g.reading = nil // whoever comes from here on needs a later call
		g.mu.Unlock()
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTime)
		defer cancel()
		var version int64
		r.text, version, r.err = g.fetch(call)
		if r.err == nil {
			g.mu.Lock()
			g.text, g.version, g.readAt = r.text, version, time.Now()
			g.mu.Unlock()
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

// write writes a change together with others, and returns how it ended.
func (g *group) write(ctx context.Context, c change) error {
	g.mu.Lock()
	w := g.writing
	first := w == nil
	if first {
		w = &writing{done: make(chan struct{})}
		g.writing = w
	}
	at := len(w.changes)
	w.changes = append(w.changes, c)
	g.mu.Unlock()
	if first {
		pause(ctx)
		g.busy.Lock()
		g.mu.Lock()
		g.writing = nil
		g.mu.Unlock()
		w.errs = g.commit(ctx, w.changes)
		g.busy.Unlock()
		close(w.done)
	}
	select {
	case <-w.done:
		return w.errs[at]
	case <-ctx.Done():
		return ctx.Err()
	}
}

// commit writes changes to the platform, those that still can be.
func (g *group) commit(ctx context.Context, changes []change) []error {
	errs := make([]error, len(changes))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTime)
	defer cancel()
	for try := range groupTries {
		text, version, err := g.latest(ctx, try == 0)
		if err != nil {
			return all(errs, err)
		}
		fit := 0
		for i, c := range changes {
			if errs[i] == nil && text.Books[c.budget].Version != c.version {
				errs[i] = errors.Wrap(escrow.ErrConflict, c.budget)
			}
			if errs[i] == nil {
				text.Books[c.budget] = entryText{Version: c.version + 1, Book: c.book}
				fit++
			}
		}
		if fit == 0 {
			return errs
		}
		data, err := json.Marshal(text)
		if err != nil {
			return all(errs, err)
		}
		_, err = g.store.Put(ctx, GroupKind, g.name, version, data)
		if err == nil {
			return errs
		}
		if !errors.Is(err, object.ErrConflict) {
			return all(errs, err)
		}
	}
	return all(errs, escrow.ErrConflict)
}

// latest returns the group for a change: as it was read a moment ago, if it was and
// that will do, since a conflict shows that it was not recent enough.
func (g *group) latest(ctx context.Context, recent bool) (groupText, int64, error) {
	g.mu.Lock()
	text, version, age := g.text, g.version, time.Since(g.readAt)
	g.mu.Unlock()
	if recent && version > 0 && age < recentTime {
		return groupText{Books: maps.Clone(text.Books)}, version, nil
	}
	return g.fetch(ctx)
}

// all returns errs with err for each that has none.
func all(errs []error, err error) []error {
	for i := range errs {
		if errs[i] == nil {
			errs[i] = err
		}
	}
	return errs
}

func (g *group) fetch(ctx context.Context) (groupText, int64, error) {
	text := groupText{}
	o, err := g.store.Get(ctx, GroupKind, g.name)
	switch {
	case errors.Is(err, object.ErrMissing):
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

// pause lets others join a call.
func pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(gatherTime):
	}
}
