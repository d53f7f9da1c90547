package peers

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"jacinthladder.dev/internal/fleet/peers/wire"
	"jacinthladder.dev/internal/forward/origin"
)

// maxOriginAsks is the largest number of peers that are asked for the origin of a stream, those in
// the zone of this instance first, since callers mostly come back to their zone.
const maxOriginAsks = 32

// FindOrigin asks live peers for the origin of the stream that the request with the given ID began.
// It returns the first that is known. Complete reports that all peers have replied.
func (c *Client) FindOrigin(ctx context.Context, id string) (found origin.Origin, known, complete bool) {
	type result struct {
		reply *wire.OriginAnswer
		err   error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	all := c.live()
	asked := all[:min(len(all), maxOriginAsks)]
	results := make(chan result, len(asked))
	for _, process := range asked {
		go func() {
			reply, err := c.askOrigin(ctx, process, id)
			results <- result{reply, err}
		}()
	}
	complete = len(asked) == len(all) && c.table.Counts().Missing == 0
	for range asked {
		got := <-results
		switch {
		case got.err != nil:
			complete = false
		case got.reply.GetKnown():
			return origin.Origin{Service: got.reply.GetService(), Version: got.reply.GetVersion()}, true, true
		}
	}
	return origin.Origin{}, false, complete
}

// askOrigin asks a process for the origin of a stream.
func (c *Client) askOrigin(ctx context.Context, process, id string) (*wire.OriginAnswer, error) {
	stub, err := c.stubFor(process)
	if err != nil {
		return nil, err
	}
	reply, err := stub.Origin(ctx, &wire.OriginAsk{Request: id})
	return reply, errors.Wrap(err, "peers: call Origin")
}

// Origin returns the origin of a stream if this instance has relayed it.
func (s *Server) Origin(_ context.Context, n *wire.OriginAsk) (*wire.OriginAnswer, error) {
	if s.Origins == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this instance relays no streams")
	}
	o, known := s.Origins.Known(n.GetRequest())
	return &wire.OriginAnswer{Known: known, Service: o.Service, Version: o.Version}, nil
}

// VersionsToWire encodes software versions by service for a heartbeat.
func VersionsToWire(versions map[string][]string) []*wire.VersionsNote {
	var encoded []*wire.VersionsNote
	for service, v := range versions {
		encoded = append(encoded, &wire.VersionsNote{Service: service, Versions: v})
	}
	return encoded
}

// VersionsFromWire decodes the software versions by service in a heartbeat.
func VersionsFromWire(encoded []*wire.VersionsNote) map[string][]string {
	versions := map[string][]string{}
	for _, n := range encoded {
		versions[n.GetService()] = n.GetVersions()
	}
	return versions
}

// OriginsToWire encodes origins that could not be stored for a heartbeat.
func OriginsToWire(groups []origin.Group) []*wire.OriginsNote {
	var encoded []*wire.OriginsNote
	for _, g := range groups {
		encoded = append(encoded, &wire.OriginsNote{Service: g.Service, Version: g.Version, Ids: g.IDs})
	}
	return encoded
}

// OriginsFromWire decodes the origins in a heartbeat.
func OriginsFromWire(encoded []*wire.OriginsNote) []origin.Group {
	var groups []origin.Group
	for _, n := range encoded {
		groups = append(groups, origin.Group{Origin: origin.Origin{Service: n.GetService(), Version: n.GetVersion()}, IDs: n.GetIds()})
	}
	return groups
}
