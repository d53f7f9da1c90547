// Package subset chooses, for each member of a large fleet, a small and stable
// subset of candidates such as endpoints or peers.
//
// Rendezvous hashing ranks the candidates for each key. Every process that knows the
// same candidates computes the same ranking without communication. Adding or
// removing a candidate changes only the subsets that this candidate enters or
// leaves.
package subset
