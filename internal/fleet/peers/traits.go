package peers

import (
	"time"

	"jacinthladder.dev/internal/fleet/peers/wire"
	"jacinthladder.dev/internal/forward/poison"
)

// TraitsToWire encodes notes on traits of requests for a heartbeat.
func TraitsToWire(notes []poison.Note) []*wire.TraitNote {
	var encoded []*wire.TraitNote
	for _, n := range notes {
		w := &wire.TraitNote{
			Trait: n.Trait, Rank: int32(n.Rank), Account: n.Account, Trials: int32(n.Trials),
			Sound: n.SoundAge.Milliseconds(), Asked: n.AskedAge.Milliseconds(), Tried: n.TrialAge.Milliseconds(),
		}
		for _, c := range n.Crashes {
			w.Crashes = append(w.Crashes, &wire.CrashNote{Endpoint: c.Key, Age: c.Age.Milliseconds(), Begun: c.Begun, Alive: c.Alive})
		}
		encoded = append(encoded, w)
	}
	return encoded
}

// TraitsFromWire decodes the notes on traits of requests in a heartbeat.
func TraitsFromWire(encoded []*wire.TraitNote) []poison.Note {
	var notes []poison.Note
	for _, w := range encoded {
		n := poison.Note{
			Trait: w.GetTrait(), Rank: int(w.GetRank()), Account: w.GetAccount(), Trials: int(w.GetTrials()),
			SoundAge: ageFromWire(w.GetSound()), AskedAge: ageFromWire(w.GetAsked()), TrialAge: ageFromWire(w.GetTried()),
		}
		for _, c := range w.GetCrashes() {
			n.Crashes = append(n.Crashes, poison.CrashNote{Key: c.GetEndpoint(), Age: ageFromWire(c.GetAge()), Begun: c.GetBegun(), Alive: c.GetAlive()})
		}
		notes = append(notes, n)
	}
	return notes
}

func ageFromWire(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
