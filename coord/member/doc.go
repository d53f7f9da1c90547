// Package member keeps track of which processes of a fleet are alive, by
// heartbeats that spread from peer to peer.
//
// Each process counts its own heartbeats. Counts are exchanged with a few peers
// at a time, a bounded number of members in each message; the higher count is
// the newer news. A process whose count has not risen for a while is silent.
//
// Silence is a hint and nothing more: a silent process may be paused, cut off or
// dead, and a live one may be silent from here. Use it to choose whom to talk
// to. Rest no rule on it that must hold.
package member
