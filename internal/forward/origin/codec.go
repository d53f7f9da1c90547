package origin

import (
	"crypto/sha256"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// digestBytes is the length of a digest. Two of the streams that are remembered at a time have
// the same one with a probability far below that of a fault of the memory.
const digestBytes = 12

// digest stands for the ID of a request, which may be long.
type digest [digestBytes]byte

func digestOf(id string) digest {
	sum := sha256.Sum256([]byte(id))
	return digest(sum[:digestBytes])
}

// versionsJSON is the value of the object that lists versions.
type versionsJSON struct {
	Services map[string][]string `json:"services"`      // sorted versions by service
	Era      int64               `json:"era,omitempty"` // see storedListing; builds before it drop the field
}

// streamsJSON is the value of the object with the origins of one instance's streams.
type streamsJSON struct {
	Streams []Group `json:"streams"`
}

// Group holds the streams with one origin.
type Group struct {
	Origin
	IDs []byte `json:"ids"` // digests of the IDs of the requests that began them, one after the other; base64 in JSON
}

// groupStreams returns streams by their origin.
func groupStreams(streams map[digest]Origin) []Group {
	ids := map[Origin][]byte{}
	for id, o := range streams {
		ids[o] = append(ids[o], id[:]...)
	}
	var groups []Group
	for o, list := range ids {
		groups = append(groups, Group{Origin: o, IDs: list})
	}
	return groups
}

// each calls found with each stream of the group.
func (g Group) each(found func(id digest, o Origin)) {
	for id := range slices.Chunk(g.IDs, digestBytes) {
		if len(id) == digestBytes {
			found(digest(id), g.Origin)
		}
	}
}

// errUnreadable means that the object that lists versions holds something else.
var errUnreadable = errors.New("origin: the listed versions cannot be read")

// listing holds the listed versions by service.
type listing map[string][]string

// has reports whether a version of a service is listed.
func (l listing) has(service, version string) bool { return slices.Contains(l[service], version) }

// with returns the listing with the versions of another one added, and whether there was one to
// add.
func (l listing) with(other listing) (listing, bool) {
	merged, added := listing{}, false
	maps.Copy(merged, l)
	for service, versions := range other {
		for _, v := range versions {
			if !merged.has(service, v) {
				merged[service] = append(slices.Clip(merged[service]), v)
				slices.Sort(merged[service])
				added = true
			}
		}
	}
	return merged, added
}

// without returns the listing without some versions.
func (l listing) without(old []Origin) listing {
	rest := listing{}
	for service, versions := range l {
		rest[service] = slices.DeleteFunc(slices.Clone(versions), func(v string) bool { return slices.Contains(old, Origin{service, v}) })
	}
	return rest
}

// mixed returns the services that have several listed versions.
func (l listing) mixed() map[string]bool {
	mixed := map[string]bool{}
	for service, versions := range l {
		if len(versions) > 1 {
			mixed[service] = true
		}
	}
	return mixed
}

// lostVersion stands in a listing for versions that it may have held before it became unreadable.
const lostVersion = ""

// withUnreadable returns the listing with a lost version for each of its services and of those
// given.
func (l listing) withUnreadable(services map[string][]string) listing {
	lost := listing{}
	for _, known := range []map[string][]string{l, services} {
		for service := range known {
			lost[service] = []string{lostVersion}
		}
	}
	merged, _ := l.with(lost)
	return merged
}

// storedListing is the list of versions as the platform holds it.
type storedListing struct {
	listing
	era     int64 // last era of the platform in which the list was known to be complete
	version int64 // of its object, 0 if there is none
}

func encodeListing(s storedListing) ([]byte, error) {
	data, err := json.Marshal(versionsJSON{Services: s.listing, Era: s.era})
	return data, errors.Wrap(err, "origin: encode the listed versions")
}

func decodeListing(data []byte) (storedListing, error) {
	var j versionsJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return storedListing{}, errors.Wrap(err, "origin: decode the listed versions")
	}
	return storedListing{listing: j.Services, era: j.Era}, nil
}

// encodeStreams encodes the origins of streams.
func encodeStreams(streams map[digest]Origin) ([]byte, error) {
	data, err := json.Marshal(streamsJSON{Streams: groupStreams(streams)})
	return data, errors.Wrap(err, "origin: encode origins of streams")
}

// decodeStreams calls found with each origin in the value of an object.
func decodeStreams(data []byte, found func(id digest, o Origin)) error {
	var j streamsJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return errors.Wrap(err, "origin: decode origins of streams")
	}
	for _, g := range j.Streams {
		g.each(found)
	}
	return nil
}
