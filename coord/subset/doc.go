// Package subset picks, for each member of a large fleet, a small and stable
// set of others to deal with.
//
// Rendezvous hashing ranks the candidates for each owner. Every process that
// knows the same names gets the same result without a word exchanged, and a
// name that comes or goes moves only its own part.
package subset
