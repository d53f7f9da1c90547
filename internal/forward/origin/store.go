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
	var version int64
	var earlier map[digest]Origin
	known, keepUntil, before, eraBefore := false, time.Now().Add(2*keepTime), 0, int64(0)
	for ctx.Err() == nil {
		pause.For(ctx, r.storeInterval())
		ambiguous := r.ambiguous(r.Listing())
		era := r.era()
		if len(ambiguous) == 0 || !r.streams.takeChanged() && len(ambiguous) == before && era == eraBefore {
			continue
		}
		before, eraBefore = len(ambiguous), era
		if !known {
			v, streams, err := r.readOwn(ctx)
			if err != nil {
				before = 0
				continue
			}
			known, version = true, v
			if time.Now().Before(keepUntil) {
				earlier = streams
			}
		}
		streams := r.streams.current(time.Now())
		maps.DeleteFunc(streams, func(_ digest, o Origin) bool { return !ambiguous[o.Service] })
		if time.Now().Before(keepUntil) {
			maps.Copy(streams, earlier)
		}
		written, err := r.writeOwn(ctx, version, streams)
		if err != nil {
			known, before = false, 0
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
