// Package peers implements the communication between the instances of the fleet.
//
// Server handles the calls of peers, over Twirp; Client calls peers; Gossiper sends
// heartbeats. They serve the escrow holder, the membership, the configuration and
// the claims of request keys. Calls are addressed to a process ID: a process that
// now listens at the address of an earlier one refuses calls meant for that one.
package peers
