// Package origin knows which software version of an endpoint began a stream, so that the
// stream can be resumed at that version only, whichever instance its caller comes back to.
//
// An instance remembers the origin of each stream that it relays, and asks its peers for those
// of others. For the time after a kill of all instances, the platform holds two things. The
// first is the list of the versions at which streams have begun, by service: an instance
// begins no stream at a version that is not listed. While a service has one listed version, that is
// the origin of all its streams. While it has several, or shares a route with another service, each
// instance also stores the origins of its streams in an object of its own, at intervals.
//
// An origin that is found nowhere is unknown. It is never derived from the endpoints that are
// present now, because the version that began the stream may have left since.
package origin
