// Package peers implements the communication between the instances of the fleet.
//
// Server handles the calls of peers, over Twirp; Client calls peers; Gossiper sends
// heartbeats. They serve the escrow holder, the membership, the configuration and
// the claims of request keys.
//
// Client finds the address of a process by the process ID. The calls Raise, Seal,
// Claim and Follow name the process that they are meant for, and Give names the
// share. A process that now listens at the address of an earlier one refuses such
// calls that are meant for that one. Beat, Docs and Ask name no recipient.
package peers
