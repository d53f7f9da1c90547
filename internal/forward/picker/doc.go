// Package picker knows the endpoints of forwarded services as they are now.
//
// The idea. A Board takes in the entries of the platform's registry and the
// results of requests, and keeps for each endpoint what this instance has open
// there, which parts of prompts it has read of late, and how often it failed. It
// hands out a Lease for a request, chosen by package place, and learns from how
// the lease ends. An endpoint that leaves gets no new lease.
package picker
