package picker

import "time"

// doubt says that an endpoint may have ended, and another one, perhaps of another software
// version, may have started under its ID at its address. The zero value is no doubt.
type doubt struct {
	since      time.Time // when a connection to the endpoint last could not be opened
	reopenedAt time.Time // when the first connection since was opened, zero if none was
}

// holds reports whether the doubt holds, given when the registry of endpoints was last confirmed. An
// endpoint registers when it starts, so a later confirmation of the old entry says that the
// endpoint behind the new connection is the old one.
func (d doubt) holds(registryAt time.Time) bool {
	return !d.since.IsZero() && (d.reopenedAt.IsZero() || !registryAt.After(d.reopenedAt))
}

// Doubtful reports whether another endpoint may have been behind the ID and the address when the
// request was sent, of which this instance has not heard.
func (pk *Pick) Doubtful() bool {
	pk.picker.mu.Lock()
	defer pk.picker.mu.Unlock()
	return pk.doubtful || pk.state.doubt.holds(pk.registryAt)
}

// Broken records that no connection to the endpoint could be opened.
func (pk *Pick) Broken(now time.Time) {
	pk.picker.mu.Lock()
	defer pk.picker.mu.Unlock()
	pk.state.doubt = doubt{since: now}
}

// Heard records that something came from the endpoint on a connection that was opened at the time
// openedAt. The endpoint behind the connection has not ended since then.
func (pk *Pick) Heard(openedAt, now time.Time) {
	pk.picker.mu.Lock()
	defer pk.picker.mu.Unlock()
	s := pk.state
	s.heardAt = now
	if s.same(openedAt, pk.registryAt) {
		s.sameUntil = now
	}
	d := &s.doubt
	switch {
	case d.since.IsZero():
	case openedAt.Before(d.since):
		*d = doubt{}
	case d.reopenedAt.IsZero():
		d.reopenedAt = openedAt
	}
}

// Same reports whether the endpoint behind a connection that was opened at the time openedAt is surely
// the one that this instance knows, given when the registry was last confirmed. An endpoint that starts
// again under its ID, while the registry is out of reach, is not heard of.
func (pk *Pick) Same(openedAt, registryAt time.Time) bool {
	pk.picker.mu.Lock()
	defer pk.picker.mu.Unlock()
	return pk.state.same(openedAt, registryAt)
}

// Unchanged records that the endpoint is the one that this instance knows still.
func (pk *Pick) Unchanged(now time.Time) {
	pk.picker.mu.Lock()
	defer pk.picker.mu.Unlock()
	pk.state.sameUntil = now
}

// Replaced reports whether this instance has heard of another endpoint that has taken the place of this
// one.
func (pk *Pick) Replaced() bool {
	pk.picker.mu.Lock()
	defer pk.picker.mu.Unlock()
	s := pk.picker.endpoints[pk.state.ID]
	return s != nil && s != pk.state
}

// same is Same for a caller that holds the lock of the picker.
func (s *endpointState) same(openedAt, registryAt time.Time) bool {
	return !openedAt.After(registryAt) || !openedAt.After(s.sameUntil)
}
