// Package once stores the claims of calls that must run at most once.
//
// A claim is an object on the platform. It is created only if it does not exist,
// before the call is sent. The request that created it may send the call once. Any
// other request gets the response recorded in the claim, or learns that the call may
// have run. If the response to the write is lost, the claim is read again: it names
// the request that created it.
package once
