// Package flow takes a request through all stages: accept, claim, price,
// reserve, choose, send, relay and settle.
//
// Each stage is a separate package with one input and one output. The stage claim
// registers a request that has an idempotency key, so that it runs only once. The
// methods Pipeline.Chat and Pipeline.Plain call the stages in order. Two guarantees
// follow from the order. No request is sent to an endpoint before its maximum cost is
// reserved. Every request that ran is settled exactly once.
package flow
