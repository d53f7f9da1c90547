package store

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"jacinthladder.dev/internal/plat/object"
)

const (
	// MaxValue is the largest value in bytes.
	MaxValue = 1 << 20
	// WritesPerSecond and ReadsPerSecond are the rates of the platform.
	WritesPerSecond = 400
	ReadsPerSecond  = 2000
)

// Faults say how the platform fails from now on. The zero value is healthy.
type Faults struct {
	Down    bool          `json:"down"`    // refuses every call
	Slow    time.Duration `json:"slow"`    // delays every call, nanoseconds
	Lose    int           `json:"lose"`    // loses the answers of so many writes
	Lag     time.Duration `json:"lag"`     // age of the instance list, nanoseconds
	Offline []string      `json:"offline"` // zones cut off from the platform
}

type key struct{ kind, name string }

// Platform is a platform in memory. Make one with New.
type Platform struct {
	mu       sync.Mutex
	version  int64
	objects  map[key]object.Object
	changed  chan struct{}
	faults   Faults
	writes   *rate.Limiter
	reads    *rate.Limiter
	counts   Counts
	listings []listing
}

// Counts are calls since the start.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Bytes   int64 `json:"bytes"`
}

// New returns an empty, healthy platform.
func New() *Platform {
	return &Platform{
		objects: map[key]object.Object{},
		changed: make(chan struct{}),
		writes:  rate.NewLimiter(WritesPerSecond, WritesPerSecond),
		reads:   rate.NewLimiter(ReadsPerSecond, ReadsPerSecond),
	}
}

// Set changes how the platform fails.
func (p *Platform) Set(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Counts returns the calls taken since the start.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Store returns the platform as seen by a client in zone, without HTTP.
func (p *Platform) Store(zone string) *object.Store {
	return &object.Store{
		Get: func(ctx context.Context, kind, name string) (object.Object, error) {
			if err := p.enter(ctx, zone, p.reads); err != nil {
				return object.Object{}, err
			}
			return p.get(kind, name)
		},
		Put: func(ctx context.Context, kind, name string, version int64, value []byte) (int64, error) {
			if err := p.enter(ctx, zone, p.writes); err != nil {
				return 0, err
			}
			return p.put(kind, name, version, value)
		},
		Watch: func(ctx context.Context, kind string, after int64, wait time.Duration) (object.Page, error) {
			if err := p.enter(ctx, zone, p.reads); err != nil {
				return object.Page{}, err
			}
			return p.watch(ctx, kind, after, wait)
		},
	}
}

// enter applies the faults that come before a call takes effect.
func (p *Platform) enter(ctx context.Context, zone string, limit *rate.Limiter) error {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	if f.Slow > 0 {
		select {
		case <-ctx.Done():
			return object.ErrUnknownOutcome
		case <-time.After(f.Slow):
		}
	}
	if f.Down || !limit.Allow() {
		return object.ErrRefused
	}
	if slices.Contains(f.Offline, zone) {
		return object.ErrUnknownOutcome
	}
	return nil
}

func (p *Platform) get(kind, name string) (object.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Reads++
	o, ok := p.objects[key{kind, name}]
	if !ok {
		return object.Object{}, object.ErrNotFound
	}
	p.counts.Bytes += int64(len(o.Value()))
	return o, nil
}

func (p *Platform) put(kind, name string, version int64, value []byte) (int64, error) {
	if len(value) > MaxValue {
		return 0, object.ErrRefused
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes++
	if p.objects[key{kind, name}].Version() != version {
		return 0, object.ErrConflict
	}
	p.version++
	p.counts.Bytes += int64(len(value))
	p.objects[key{kind, name}] = object.New(kind, name, p.version, slices.Clone(value))
	close(p.changed)
	p.changed = make(chan struct{})
	if p.faults.Lose > 0 {
		p.faults.Lose--
		return 0, object.ErrUnknownOutcome
	}
	return p.version, nil
}

func (p *Platform) watch(ctx context.Context, kind string, after int64, wait time.Duration) (object.Page, error) {
	expired := time.After(wait)
	p.mu.Lock()
	p.counts.Watches++
	p.mu.Unlock()
	for {
		p.mu.Lock()
		page := p.newer(kind, after)
		changed := p.changed
		p.mu.Unlock()
		if len(page.Objects()) > 0 || wait <= 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-expired:
			return page, nil
		case <-ctx.Done():
			return object.Page{}, object.ErrUnknownOutcome
		}
	}
}

// newer lists the objects of a kind above a version, oldest first.
func (p *Platform) newer(kind string, after int64) object.Page {
	var found []object.Object
	for k, o := range p.objects {
		if k.kind == kind && o.Version() > after {
			found = append(found, o)
			p.counts.Bytes += int64(len(o.Value()))
		}
	}
	slices.SortFunc(found, func(a, b object.Object) int { return int(a.Version() - b.Version()) })
	return object.NewPage(found, p.version)
}

// Names returns the names of the objects of a kind that start with prefix.
func (p *Platform) Names(kind, prefix string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for k := range p.objects {
		if k.kind == kind && strings.HasPrefix(k.name, prefix) {
			names = append(names, k.name)
		}
	}
	slices.Sort(names)
	return names
}
