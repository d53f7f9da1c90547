package origin

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"jacinthladder.dev/internal/plat/object"
)

const (
	// VersionsKind is the kind of the object that lists versions, and versionsName its name.
	VersionsKind = "software"
	versionsName = "current"
	// StreamsKind is the kind of the objects that hold origins of streams, one for each instance.
	StreamsKind = "origins"
)

const (
	// keepTime is how long the origin of a stream is remembered after the time by which its
	// response is due.
	keepTime = 10 * time.Second
	// storeTimeout bounds one call to the platform.
	storeTimeout = 900 * time.Millisecond
)

// Register knows the origins of streams. Set the exported fields before use.
type Register struct {
	Instance  string // name of the instance, the same after a restart
	Store     *object.Store
	WriteRate int                        // writes per second that the platform accepts, 0 if not known
	Members   func() int                 // number of live instances
	Versions  func() map[string][]string // versions of the known endpoints, by service
	Split     func() map[string]bool     // services that share a route with another one; nil for none
	Changed   func() <-chan struct{}     // closed at the next change of what Versions returns
	// Ask asks the peers for the origin of a stream, and returns it if one knows it.
	// Complete reports that all peers have replied.
	Ask    func(ctx context.Context, id string) (o Origin, found, complete bool)
	Logger log.Interface

	streams  book
	unstored atomic.Bool // the last attempt to store the origins of streams has failed

	mu       sync.Mutex
	listed   listing              // versions that are known to be listed
	ready    chan struct{}        // see Ready
	seenAt   map[Origin]time.Time // when a listed version last had an endpoint, or was first found listed
	retired  map[Origin]bool      // versions that this instance has taken off the list
	settling settling             // whether the list is complete in the platform's era

	readMu   sync.Mutex // held during a read for Find, so that those who wait share the next one
	lastRead reading
}

// Run lists the versions of the endpoints, and stores the origins of the streams of ambiguous
// services, until ctx ends.
func (r *Register) Run(ctx context.Context) {
	var work sync.WaitGroup
	work.Go(func() { r.listVersions(ctx) })
	r.storeStreams(ctx)
	work.Wait()
}

// Began remembers that a stream began. ID is that of the request that brought the first event, and
// due the time by which its response is due. A stream that has been resumed is remembered
// again, by the ID of the request that brought the first event. An origin without a version is
// remembered as unknown.
func (r *Register) Began(id string, o Origin, due time.Time) {
	if id != "" {
		r.streams.add(digestOf(id), entry{Origin: o, until: due.Add(keepTime)}, time.Now())
	}
}

// Known returns the origin of a stream if this instance has relayed it.
func (r *Register) Known(id string) (Origin, bool) { return r.streams.find(digestOf(id)) }

// Listed reports whether streams may begin at a version of a service.
func (r *Register) Listed(service, version string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return version == "" || r.listed.has(service, version)
}

// Ready returns a channel that is closed once the versions of the known endpoints are listed.
func (r *Register) Ready() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ready == nil {
		r.ready = make(chan struct{})
	}
	return r.ready
}

// Listing returns the versions that are known to be listed, by service.
func (r *Register) Listing() map[string][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.listed)
}

// ambiguous returns the services whose streams may have begun elsewhere or at another version, as far as
// the list and the routes tell: those with several listed versions, and those that share a route.
func (r *Register) ambiguous(l listing) map[string]bool {
	services := l.mixed()
	if r.Split != nil {
		maps.Copy(services, r.Split())
	}
	return services
}

// Merge adds versions that a peer knows to be listed.
func (r *Register) Merge(other map[string][]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.merge(other, time.Now())
}
