// Package poison finds out which requests crash the endpoints that serve them, and stops
// them.
//
// An endpoint that crashes breaks off all its requests, so a single crash does not say
// which of them was the cause. A Tracker records, for each Trait of the requests that broke
// off, the endpoints that crashed under it. A trait is what requests have in common: a part
// of their prompts that other requests share, or that they are the same request, sent again.
// A trait that caused the crashes has all of them. The other traits of its requests, and
// those of bystanders, have only some, and lose them as soon as a request with them is served
// anywhere. A crash counts once the endpoint has shown no sign of life for a while.
//
// A trait is blocked when enough endpoints have crashed under it, and no other trait explains
// these crashes better. Requests with it are refused from then on, and all others are
// served. After a time that grows with each failure, one request is let through as a trial;
// if it is served, the trait is no longer blocked.
//
// Instances exchange what they have seen as Notes in their heartbeats, because each sees
// only a few of the crashes. Notes hold ages instead of times, so clocks need not agree. They
// can be lost, repeated or late.
//
// The number of records is bounded, and so is the part of them that the requests of one
// account can take.
package poison
