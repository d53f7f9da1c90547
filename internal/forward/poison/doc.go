// Package poison finds parts of prompts that crash the endpoints which serve them, and
// stops the requests with such a part.
//
// An endpoint that crashes breaks off all its requests, so a single crash does not say
// which of them was the cause. A Tracker records, for each part of a prompt that requests
// share, the endpoints that crashed before a request with that part had got an event. A
// part that caused the crashes has all of them. The other parts of its requests, and those
// of bystanders, have only some, and lose them as soon as a request with them gets its
// first event anywhere. A crash counts once the endpoint has shown no sign of life for a
// while.
//
// A part is blocked when enough endpoints have crashed under it, and no other part explains
// these crashes better. Requests with it are refused from then on, and all others are
// served. After a time that grows with each failure, one request is let through as a trial;
// its first event unblocks the part.
//
// Instances exchange what they have seen as Notes in their heartbeats, because each sees
// only a few of the crashes. Notes hold ages instead of times, so clocks need not agree. They
// can be lost, repeated or late.
package poison
