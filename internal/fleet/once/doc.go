// Package once stores the claims of calls that must run at most once.
//
// A claim is an object on the platform, one for each request key. A request key is the
// idempotency key of a caller, together with its client account and service. A request
// creates the claim before it sends the call, and only if there is no claim yet. The
// request that created the claim may send the call once. Any other request with the
// same key gets the response recorded in the claim, or learns that the call may have
// run.
//
// If the platform's response to the write of a claim is lost, the claim is read again.
// The stored claim names the request that created it.
package once
