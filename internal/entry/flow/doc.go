// Package flow is the map of the program: it takes a request through the
// stages accept, claim, price, reserve, choose, send, relay and settle.
//
// Each stage is a package of its own with one input and one output. Read Chat
// and Plain from top to bottom to see what happens to a request, and in which
// order the promises are made: nothing leaves before it is reserved for, and
// whatever ran is settled once.
package flow
