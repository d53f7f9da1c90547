// Package call holds what the stages of a request hand on: the Call as it was
// accepted, and the Refusal that ends it without an answer.
//
// A Call does not change once it is made. It keeps the version of its service
// document from start to end.
package call
