package peers

import (
	"time"

	"jacinthladder.dev/internal/fleet/peers/wire"
	"jacinthladder.dev/internal/forward/poison"
)

// PartsToWire encodes notes on parts of prompts for a heartbeat.
func PartsToWire(notes []poison.Note) []*wire.PartNote {
	var encoded []*wire.PartNote
	for _, n := range notes {
		w := &wire.PartNote{
			Part: n.Part, Position: int32(n.Position), Trials: int32(n.Trials),
			Sound: n.SoundAge.Milliseconds(), Asked: n.AskedAge.Milliseconds(), Tried: n.TrialAge.Milliseconds(),
		}
		for _, c := range n.Crashes {
			w.Crashes = append(w.Crashes, &wire.CrashNote{Endpoint: c.Key, Age: c.Age.Milliseconds(), Begun: c.Begun, Alive: c.Alive})
		}
		encoded = append(encoded, w)
	}
	return encoded
}

// PartsFromWire decodes the notes on parts of prompts in a heartbeat.
func PartsFromWire(encoded []*wire.PartNote) []poison.Note {
	var notes []poison.Note
	for _, w := range encoded {
		n := poison.Note{
			Part: w.GetPart(), Position: int(w.GetPosition()), Trials: int(w.GetTrials()),
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
