// Package slopes measures how the cost of each role of a router grows with
// size, on small stand-ins, and extrapolates the cost of each role to the target
// size. It writes docs/CAPACITY.md and its plots. No figure on that page is
// written by hand.
package slopes
