package origin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/fleet/pause"
	"jacinthladder.dev/internal/plat/object"
)

const (
	// listInterval is the interval at which an instance checks that the versions of the
	// endpoints that it knows are listed, besides at each change of the endpoints.
	listInterval = time.Second
	// forgetTime is how long a version must have had no endpoint until this instance begins no stream
	// at it without having found it listed again, and retireTime that until it is taken off the list.
	// The difference exceeds the time for which an instance may take an endpoint for present that is
	// not.
	forgetTime = 5 * time.Minute
	retireTime = 15 * time.Minute
	// listRetry is the longest time, before jitter, from a failed attempt to list versions to
	// the next one.
	listRetry = 400 * time.Millisecond
	// writeSpread is the time, for each live instance, over which they spread their writes of a version
	// that all of them have seen at once.
	writeSpread = 10 * time.Millisecond
)

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

// listNow lists the versions of the endpoints that are not known to be listed. After the platform has
// lost writes it also lists again what this instance remembers, and after a time notes that the list is
// complete. Instances that find the same one missing write at different times, so that one write
// serves all.
func (r *Register) listNow(ctx context.Context) error {
	for try := 0; ; try++ {
		r.noteSeen(time.Now()) // so that Merge takes versions that are back
		l := listing(r.Listing())
		wanted, missing := l.with(r.Versions())
		if !missing && r.settled() {
			return nil
		}
		stored, err := r.readListing(ctx)
		if errors.Is(err, errUnreadable) {
			r.Logger.WithError(err).Warn("origin: replacing the listed versions, which cannot be read")
			stored.listing, err = l.withUnreadable(r.Versions()), nil
		}
		if err != nil {
			return err
		}
		r.Merge(stored.listing)
		r.noteStored(stored.era)
		wanted, missing = stored.with(wanted)
		era := r.eraToNote(stored.era)
		if !missing && era == stored.era {
			return nil
		}
		if try == 0 && r.Members() > 1 {
			pause.For(ctx, rand.N(time.Duration(r.Members())*writeSpread))
			continue
		}
		err = r.writeListing(ctx, storedListing{listing: wanted, era: era, version: stored.version})
		if errors.Is(err, object.ErrConflict) {
			continue
		}
		if err != nil {
			return err
		}
		r.Merge(wanted)
		r.noteStored(era)
		r.Logger.WithFields(log.Fields{"versions": wanted, "era": era}).Info("origin: listed versions at which streams may begin")
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
	stored, err := r.readListing(ctx)
	if err != nil || stored.version == 0 {
		return err
	}
	stored.listing = stored.without(old)
	if err := r.writeListing(ctx, stored); errors.Is(err, object.ErrConflict) {
		return nil // the next call tries again
	} else if err != nil {
		return err
	}
	r.setRetired(old)
	r.Logger.WithField("versions", old).Info("origin: took versions off the list that have had no endpoint for long")
	return nil
}

// readListing reads the listed versions, none if there is no list.
func (r *Register) readListing(ctx context.Context) (storedListing, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o, err := r.Store.Get(ctx, VersionsKind, versionsName)
	if errors.Is(err, object.ErrNotFound) {
		return storedListing{}, nil
	}
	if err != nil {
		return storedListing{}, err
	}
	stored, err := decodeListing(o.Value())
	stored.version = o.Version()
	return stored, errors.Mark(err, errUnreadable)
}

// writeListing replaces the list of versions, whose object must have the version of s.
func (r *Register) writeListing(ctx context.Context, s storedListing) error {
	data, err := encodeListing(s)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = r.Store.Put(ctx, VersionsKind, versionsName, s.version, data)
	return err
}
