// Package peers connects the instances of the fleet to one another.
//
// It answers what peers ask, over Twirp, and carries what the escrow holder,
// the membership, the configuration and the claims of this instance have to say
// to theirs. An instance is addressed by its process ID; a process that took
// over the address of another refuses what was meant for that one.
package peers
