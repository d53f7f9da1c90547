package peers

import (
	"jacinthladder.dev/internal/fleet/peers/wire"
	"jacinthladder.dev/internal/forward/meta"
	"jacinthladder.dev/internal/forward/picker"
)

// LimitsToWire encodes notes on the rates that endpoints take for a heartbeat.
func LimitsToWire(notes []picker.LimitNote) []*wire.LimitNote {
	var encoded []*wire.LimitNote
	for _, n := range notes {
		encoded = append(encoded, &wire.LimitNote{
			Endpoint: n.ID, Started: n.StartedAt, Named: n.Limit.Named, Rate: n.Limit.PerSecond,
			Asked: n.AskedAge.Milliseconds(), Told: n.ToldAge.Milliseconds(),
		})
	}
	return encoded
}

// LimitsFromWire decodes the notes on the rates that endpoints take in a heartbeat.
func LimitsFromWire(encoded []*wire.LimitNote) []picker.LimitNote {
	var notes []picker.LimitNote
	for _, w := range encoded {
		notes = append(notes, picker.LimitNote{
			ID: w.GetEndpoint(), StartedAt: w.GetStarted(), Limit: meta.RateLimit{Named: w.GetNamed(), PerSecond: w.GetRate()},
			AskedAge: ageFromWire(w.GetAsked()), ToldAge: ageFromWire(w.GetTold()),
		})
	}
	return notes
}
