package origin

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/fleet/pause"
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
	// listInterval is the interval at which an instance checks that the versions of the
	// endpoints that it knows are listed, besides at each change of the endpoints.
	listInterval = time.Second
	// storeTimeout bounds one call to the platform.
	storeTimeout = 900 * time.Millisecond
	// forgetTime is how long a version must have had no endpoint until this instance begins no stream
	// at it without having found it listed again, and retireTime that until it is taken off the list.
	// The difference exceeds the time for which an instance may take an endpoint for present that is
	// not.
	forgetTime = 5 * time.Minute
	retireTime = 15 * time.Minute
	// listRetry is the longest time, before jitter, from a failed attempt to list versions to
	// the next one.
	listRetry = 400 * time.Millisecond
	// minStoreInterval is the shortest interval between two writes of an instance's origins.
	minStoreInterval = 300 * time.Millisecond
	// writeShare is the share of the writes that the platform accepts which all instances
	// together use for origins.
	writeShare = 0.1
)

// Register knows the origins of streams. Set the exported fields before use.
type Register struct {
	Instance  string // name of the instance, the same after a restart
	Store     *object.Store
	WriteRate int                        // writes per second that the platform accepts, 0 if not known
	Members   func() int                 // number of live instances
	Versions  func() map[string][]string // versions of the known endpoints, by service
	Changed   func() <-chan struct{}     // closed at the next change of what Versions returns
	// Ask asks the peers for the origin of a stream, and returns it if one knows it.
	// Complete reports that all peers have replied.
	Ask    func(ctx context.Context, id string) (o Origin, found, complete bool)
	Logger log.Interface

	streams book

	mu      sync.Mutex
	listed  listing              // versions that are known to be listed
	ready   chan struct{}        // see Ready
	seenAt  map[Origin]time.Time // when a listed version last had an endpoint, or was first found listed
	retired map[Origin]bool      // versions that this instance has taken off the list

	readMu   sync.Mutex // held during a read for Find, so that those who wait share the next one
	lastRead reading
}

// Run lists the versions of the endpoints, and stores the origins of streams while a service
// has several versions, until ctx ends.
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

// Merge adds versions that a peer knows to be listed.
func (r *Register) Merge(other map[string][]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.merge(other, time.Now())
}

// listVersions lists the versions of the endpoints until ctx ends.
func (r *Register) listVersions(ctx context.Context) {
	r.Ready()
	ready := sync.OnceFunc(func() { close(r.ready) })
	for ctx.Err() == nil {
		changed := r.Changed()
		wait := listInterval
		err := errors.CombineErrors(r.listNow(ctx), r.retire(ctx, time.Now()))
		if err == nil && len(r.Versions()) > 0 {
			ready()
		}
		if err != nil && ctx.Err() == nil {
			r.Logger.WithError(err).Warn("origin: could not list the versions of endpoints, will retry")
			wait, changed = listRetry/2+rand.N(listRetry/2), nil
		}
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// listNow lists the versions of the endpoints that are not known to be listed. Instances that
// find the same one missing write at different times, so that one write serves all.
func (r *Register) listNow(ctx context.Context) error {
	for try := 0; ; try++ {
		r.noteSeen(time.Now()) // so that Merge takes versions that are back
		l := listing(r.Listing())
		wanted, missing := l.with(r.Versions())
		if !missing {
			return nil
		}
		stored, version, err := r.readListing(ctx)
		if errors.Is(err, errUnreadable) {
			r.Logger.WithError(err).Warn("origin: replacing the listed versions, which cannot be read")
			stored, err = l.withUnreadable(r.Versions()), nil
		}
		if err != nil {
			return err
		}
		r.Merge(stored)
		wanted, missing = stored.with(wanted)
		if !missing {
			continue
		}
		if try == 0 && r.Members() > 1 {
			pause.For(ctx, rand.N(time.Duration(r.Members())*writeSpread))
			continue
		}
		data, err := encodeListing(wanted)
		if err != nil {
			return err
		}
		err = r.writeListing(ctx, version, data)
		if errors.Is(err, object.ErrConflict) {
			continue
		}
		if err != nil {
			return err
		}
		r.Merge(wanted)
		r.Logger.WithField("versions", wanted).Info("origin: listed versions at which streams may begin")
		return nil
	}
}

// noteSeen records which versions have endpoints, and forgets those that have had none for
// forgetTime. It returns those that have had none for retireTime.
func (r *Register) noteSeen(now time.Time) []Origin {
	present := listing(r.Versions())
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.seenAt == nil {
		r.seenAt = map[Origin]time.Time{}
	}
	for service, versions := range r.listed {
		for _, v := range versions {
			o := Origin{service, v}
			if _, known := r.seenAt[o]; !known || present.has(service, v) {
				r.seenAt[o] = now
			}
		}
	}
	var old []Origin
	for o, at := range r.seenAt {
		if present.has(o.Service, o.Version) {
			r.seenAt[o] = now
			delete(r.retired, o)
			continue
		}
		if now.Sub(at) > forgetTime {
			r.listed = r.listed.without([]Origin{o})
		}
		if now.Sub(at) > retireTime && !r.retired[o] {
			old = append(old, o)
		}
	}
	return old
}

// merge adds versions that were found listed, but for those that this instance has forgotten. The
// caller holds the lock.
func (r *Register) merge(other listing, now time.Time) {
	for o, at := range r.seenAt {
		if now.Sub(at) > forgetTime {
			other = other.without([]Origin{o})
		}
	}
	r.listed, _ = r.listed.with(other)
}

// setRetired records which versions were taken off the list.
func (r *Register) setRetired(old []Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.retired == nil {
		r.retired = map[Origin]bool{}
	}
	for _, o := range old {
		r.retired[o] = true
	}
}

// retire takes versions off the list that have had no endpoint for retireTime.
func (r *Register) retire(ctx context.Context, now time.Time) error {
	old := r.noteSeen(now)
	if len(old) == 0 {
		return nil
	}
	stored, version, err := r.readListing(ctx)
	if err != nil || version == 0 {
		return err
	}
	data, err := encodeListing(stored.without(old))
	if err != nil {
		return err
	}
	if err := r.writeListing(ctx, version, data); errors.Is(err, object.ErrConflict) {
		return nil // the next call tries again
	} else if err != nil {
		return err
	}
	r.setRetired(old)
	r.Logger.WithField("versions", old).Info("origin: took versions off the list that have had no endpoint for long")
	return nil
}

// writeSpread is the time, for each live instance, over which they spread their writes of a version
// that all of them have seen at once.
const writeSpread = 10 * time.Millisecond

// readListing reads the listed versions and the version of their object, 0 if there is none.
func (r *Register) readListing(ctx context.Context) (listing, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o, err := r.Store.Get(ctx, VersionsKind, versionsName)
	if errors.Is(err, object.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	l, err := decodeListing(o.Value())
	if err != nil {
		return nil, o.Version(), errors.Mark(err, errUnreadable)
	}
	return l, o.Version(), nil
}

// writeListing replaces the object that lists versions, whose present version is given.
func (r *Register) writeListing(ctx context.Context, version int64, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := r.Store.Put(ctx, VersionsKind, versionsName, version, data)
	return err
}

// storeStreams writes the origins of this instance's streams at services with several listed
// versions, until ctx ends. What an earlier process of the instance has written stays for
// keepTime.
func (r *Register) storeStreams(ctx context.Context) {
	var version int64
	var earlier map[digest]Origin
	known, keepUntil, mixedBefore := false, time.Now().Add(2*keepTime), 0
	for ctx.Err() == nil {
		pause.For(ctx, r.storeInterval())
		mixed := listing(r.Listing()).mixed()
		if len(mixed) == 0 || !r.streams.takeChanged() && len(mixed) == mixedBefore {
			continue
		}
		mixedBefore = len(mixed)
		if !known {
			v, streams, err := r.readOwn(ctx)
			if err != nil {
				mixedBefore = 0
				continue
			}
			known, version = true, v
			if time.Now().Before(keepUntil) {
				earlier = streams
			}
		}
		streams := r.streams.current(time.Now())
		maps.DeleteFunc(streams, func(_ digest, o Origin) bool { return !mixed[o.Service] })
		if time.Now().Before(keepUntil) {
			maps.Copy(streams, earlier)
		}
		written, err := r.writeOwn(ctx, version, streams)
		if err != nil {
			known, mixedBefore = false, 0
			continue
		}
		version = written
	}
}

// storeInterval returns the time from one write of this instance's origins to the next.
func (r *Register) storeInterval() time.Duration {
	if r.WriteRate <= 0 {
		return minStoreInterval
	}
	return max(minStoreInterval, time.Duration(float64(r.Members())/(writeShare*float64(r.WriteRate))*float64(time.Second)))
}

// readOwn reads the object of this instance's origins, which need not exist.
func (r *Register) readOwn(ctx context.Context) (int64, map[digest]Origin, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o, err := r.Store.Get(ctx, StreamsKind, r.Instance)
	if errors.Is(err, object.ErrNotFound) {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, err
	}
	streams := map[digest]Origin{}
	if err := decodeStreams(o.Value(), func(id digest, o Origin) { streams[id] = o }); err != nil {
		r.Logger.WithError(err).Warn("origin: replacing stored origins that cannot be read")
	}
	return o.Version(), streams, nil
}

// writeOwn replaces the object of this instance's origins and returns its new version.
func (r *Register) writeOwn(ctx context.Context, version int64, streams map[digest]Origin) (int64, error) {
	data, err := encodeStreams(streams)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return r.Store.Put(ctx, StreamsKind, r.Instance, version, data)
}
