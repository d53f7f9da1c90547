// Package owner stores the attempts at request keys on the members of the fleet that own
// these keys. A request key is the idempotency key of a caller, together with its client
// account and service. Each request key has one owner and, if there are members in
// another zone, a second owner there. An instance that receives a retry finds the first
// attempt at the owners and can follow its response.
package owner
