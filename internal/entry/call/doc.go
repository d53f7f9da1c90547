// Package call defines the types that all stages of a request use: the Call, an
// accepted request, and the Refusal, the error that ends a request without a
// complete response.
//
// A Call is immutable. It keeps the version of the service document that was in
// force when it was accepted.
package call
