package origin

import (
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/fleet/pause"
	"jacinthladder.dev/internal/plat/object"
)

const (
	// minStoreInterval is the shortest interval between two writes of an instance's origins.
	minStoreInterval = 300 * time.Millisecond
	// writeShare is the share of the writes that the platform accepts which all instances
	// together use for origins.
	writeShare = 0.1
)

// storeStreams writes the origins of this instance's streams at ambiguous services, until ctx ends.
// What an earlier process of the instance has written stays for keepTime.
func (r *Register) storeStreams(ctx context.Context) {
	o := ownObject{keepUntil: time.Now().Add(2 * keepTime)}
	for ctx.Err() == nil {
		pause.For(ctx, r.storeInterval())
		err := r.storeOwn(ctx, &o)
		r.unstored.Store(err != nil)
	}
}

// ownObject is what is known of the object with the origins of this instance's streams.
type ownObject struct {
	known     bool
	version   int64             // of the object, if known
	earlier   map[digest]Origin // what an earlier process has written
	keepUntil time.Time         // until when that is written again
	services  int               // number of ambiguous services at the last write, 0 if it failed
	era       int64             // of the platform, at the last write
}

// storeOwn writes the origins of this instance's streams if they have changed since the last write.
func (r *Register) storeOwn(ctx context.Context, o *ownObject) error {
	ambiguous, era := r.ambiguous(r.Listing()), r.era()
	if len(ambiguous) == 0 || !r.streams.takeChanged() && len(ambiguous) == o.services && era == o.era {
		return nil
	}
	o.services, o.era = 0, era
	if !o.known {
		version, streams, err := r.readOwn(ctx)
		if err != nil {
			return err
		}
		o.known, o.version, o.earlier = true, version, streams
	}
	streams := r.streams.current(time.Now(), func(e entry) bool { return ambiguous[e.Service] })
	if time.Now().Before(o.keepUntil) {
		maps.Copy(streams, o.earlier)
	}
	written, err := r.writeOwn(ctx, o.version, streams)
	if err != nil {
		o.known = false
		return err
	}
	o.version, o.services = written, len(ambiguous)
	return nil
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
