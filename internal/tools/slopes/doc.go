// Package slopes measures how the costs of a router, such as memory and CPU time, grow
// with its load and with the size of the fleet. A slope is the growth of one cost with
// one size, such as bytes of memory with open streams. The package measures slopes on
// small stand-ins and extrapolates the cost of each role of a router to the target size
// of the fleet. It writes docs/CAPACITY.md and its plots. No measured figure on that page
// is written by hand.
package slopes
