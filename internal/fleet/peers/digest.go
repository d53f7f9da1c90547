package peers

import (
	"jacinthladder.dev/coord/member"
	"jacinthladder.dev/internal/fleet/peers/wire"
)

// digestToWire converts a digest to its form in a message.
func digestToWire(d member.Digest) *wire.DigestNote {
	n := &wire.DigestNote{From: d.From, To: d.To, Keys: make([]uint64, len(d.Pulses)), Counts: make([]uint64, len(d.Pulses))}
	for i, p := range d.Pulses {
		n.Keys[i], n.Counts[i] = p.Key, p.Heartbeat<<1
		if p.Leaving {
			n.Counts[i]++
		}
	}
	return n
}

// digestFromWire converts a digest from its form in a message. Counts without a key, and keys
// without a count, are ignored.
func digestFromWire(n *wire.DigestNote) member.Digest {
	d := member.Digest{From: n.GetFrom(), To: n.GetTo()}
	for i := range min(len(n.GetKeys()), len(n.GetCounts())) {
		count := n.Counts[i]
		d.Pulses = append(d.Pulses, member.Pulse{Key: n.Keys[i], Heartbeat: count >> 1, Leaving: count&1 == 1})
	}
	return d
}
