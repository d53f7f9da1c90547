package store

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"jacinthladder.dev/internal/plat/object"
)

const (
	// MaxValueBytes is the size of the largest value of an object. A write of a larger
	// one is refused.
	MaxValueBytes = 1 << 20
	// WritesPerSecond and ReadsPerSecond limit the calls of all callers together; a
	// call beyond the limit is refused. Watches and reads of the instance list count
	// as reads. A burst may contain as many calls as the limit allows in one second.
	WritesPerSecond = 400
	ReadsPerSecond  = 2000
)

// Faults says how the platform fails when callers read, write or watch objects or read
// the instance list. The zero value means no faults.
type Faults struct {
	Down          bool          `json:"down"`    // refuses every call with object.ErrRefused, over HTTP status 503
	Delay         time.Duration `json:"slow"`    // delay of every call, in nanoseconds
	LostResponses int           `json:"lose"`    // number of coming writes that take effect but get no response
	ListDelay     time.Duration `json:"lag"`     // age of the instance list that callers read, in nanoseconds
	OfflineZones  []string      `json:"offline"` // zones whose calls get no response
}

type objectKey struct{ kind, name string }

// Platform is an in-memory stand-in for the platform. It holds objects and the
// instance list. Create one with New.
type Platform struct {
	mu      sync.Mutex
	version int64 // version of the object written last; each write of an object raises it by one, and each Restore to the next era
	objects map[objectKey]object.Object
	changed chan struct{} // closed at each write of an object, then replaced
	faults  Faults
	writes  *rate.Limiter // limits the writes of objects to WritesPerSecond
	reads   *rate.Limiter // limits reads, watches and reads of the instance list to ReadsPerSecond
	counts  Counts
	lists   []listSnapshot // snapshots of the instance list, oldest first
}

// Counts holds the number of accepted reads, writes and watches of objects since the
// start, and the bytes of all values that they read or wrote.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Bytes   int64 `json:"bytes"`
}

// New returns an empty platform without faults.
func New() *Platform {
	return &Platform{
		objects: map[objectKey]object.Object{},
		changed: make(chan struct{}),
		writes:  rate.NewLimiter(WritesPerSecond, WritesPerSecond),
		reads:   rate.NewLimiter(ReadsPerSecond, ReadsPerSecond),
	}
}

// SetFaults makes the platform fail as f says. It replaces all faults set before, so
// that the zero value ends them.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Counts returns the numbers of accepted reads, writes and watches of objects since the
// start, and the bytes of their values.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Copy is the content of a platform at one moment.
type Copy struct {
	version int64
	objects map[objectKey]object.Object
}

// Copy returns a copy of the platform's objects.
func (p *Platform) Copy() Copy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Copy{version: p.version, objects: maps.Clone(p.objects)}
}

// Restore makes the platform return to a copy, in a new era: objects written since are
// gone. No version is given out twice, since the era is a part of it (object.VersionIn).
func (p *Platform) Restore(c Copy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version = object.VersionIn(object.EraOf(p.version)+1, object.RevisionOf(c.version))
	p.objects = maps.Clone(c.objects)
	close(p.changed)
	p.changed = make(chan struct{})
}

// Store returns a client that calls the platform directly, without HTTP. If
// Faults.OfflineZones contains zone, its calls fail with object.ErrUnknownOutcome. The
// empty zone stands for a caller outside all zones.
func (p *Platform) Store(zone string) *object.Store {
	return &object.Store{
		Get: func(ctx context.Context, kind, name string) (object.Object, error) {
			if err := p.admit(ctx, zone, p.reads); err != nil {
				return object.Object{}, err
			}
			return p.get(kind, name)
		},
		Put: func(ctx context.Context, kind, name string, version int64, value []byte) (int64, error) {
			if err := p.admit(ctx, zone, p.writes); err != nil {
				return 0, err
			}
			return p.put(kind, name, version, value)
		},
		Watch: func(ctx context.Context, kind string, after int64, wait time.Duration) (object.Page, error) {
			if err := p.admit(ctx, zone, p.reads); err != nil {
				return object.Page{}, err
			}
			return p.watch(ctx, kind, after, wait)
		},
	}
}

// admit delays a call by Faults.Delay. It returns an error if the call must not take
// effect: ErrRefused if the platform is down or the rate limit is exceeded,
// ErrUnknownOutcome if the zone is offline or ctx ends during the delay.
func (p *Platform) admit(ctx context.Context, zone string, limiter *rate.Limiter) error {
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	if faults.Delay > 0 {
		select {
		case <-ctx.Done():
			return object.ErrUnknownOutcome
		case <-time.After(faults.Delay):
		}
	}
	if faults.Down || !limiter.Allow() {
		return object.ErrRefused
	}
	if slices.Contains(faults.OfflineZones, zone) {
		return object.ErrUnknownOutcome
	}
	return nil
}

func (p *Platform) get(kind, name string) (object.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Reads++
	o, ok := p.objects[objectKey{kind, name}]
	if !ok {
		return object.Object{}, object.ErrNotFound
	}
	p.counts.Bytes += int64(len(o.Value()))
	return o, nil
}

func (p *Platform) put(kind, name string, version int64, value []byte) (int64, error) {
	if len(value) > MaxValueBytes {
		return 0, object.ErrRefused
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes++
	if p.objects[objectKey{kind, name}].Version() != version {
		return 0, object.ErrConflict
	}
	p.version++
	p.counts.Bytes += int64(len(value))
	p.objects[objectKey{kind, name}] = object.New(kind, name, p.version, slices.Clone(value))
	close(p.changed)
	p.changed = make(chan struct{})
	if p.faults.LostResponses > 0 {
		p.faults.LostResponses--
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
		page := p.newerThan(kind, after)
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

// newerThan returns a page with the platform's newest version and the objects of a kind
// whose version is above after, oldest first. It adds the bytes of their values to the
// counts. The caller holds p.mu.
func (p *Platform) newerThan(kind string, after int64) object.Page {
	var found []object.Object
	for k, o := range p.objects {
		if k.kind == kind && o.Version() > after {
			found = append(found, o)
			p.counts.Bytes += int64(len(o.Value()))
		}
	}
	slices.SortFunc(found, func(a, b object.Object) int { return cmp.Compare(a.Version(), b.Version()) })
	return object.NewPage(found, p.version)
}

// Names returns the names, in order, of the objects of a kind whose name starts with
// prefix.
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
