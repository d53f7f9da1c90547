// Package permit keeps a rate of requests that many processes share.
//
// An endpoint may say how many requests a second it takes from all processes together. If
// each process got a fixed share of such a rate, the shares of idle processes would be
// unused. So every request needs a permit, and all permits for one key, such as an endpoint,
// come from one token bucket. A process that alone has load gets the whole rate, wherever
// the load was before.
//
// The bucket is at the granter of the key, the process that rendezvous hashing ranks first. A
// process that is asked and knows of a better ranked one relays the question, so a granter
// that only some processes reach stays the only one. If the granter has not replied
// for a second, or has surely ended, the next process in the ranking takes over, with an empty
// bucket. One that replies late goes on: until then there are no permits for those who wait.
//
// During a partition each side has a granter. Each grants the fraction of the rate that
// corresponds to the processes on its side, so that all sides together keep the rate. The
// processes of the other side count as missing only when their heartbeats have been missed
// for some time; until then, each side grants the whole rate. A process that has ended
// without notice keeps its fraction until it is replaced or forgotten.
//
// The package starts no goroutine, and nothing that it decides depends on clocks of
// different processes. Permits are not given back: one that is granted and then not used is
// lost.
package permit
