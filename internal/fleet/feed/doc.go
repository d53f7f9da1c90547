// Package feed follows the objects of one kind on the platform.
//
// The idea. A Feed lists a kind once and then watches it. It keeps the newest
// version of each object that it has heard of, from the platform or from a peer,
// and never steps back: an answer that is older than what is known changes
// nothing. When the platform's history is gone it lists again; an object that is
// missing from such a list is gone, but only after a grace, since entries that
// lapsed while the platform was away come back a little later.
package feed
