// Package slopes measures how the costs of each role grow with size, on small
// stand-ins, and works out from the slopes what each role would cost at the
// target size. It writes docs/CAPACITY.md and its plots; no figure there is
// typed by hand.
package slopes
