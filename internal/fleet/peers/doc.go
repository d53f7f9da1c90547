// Package peers implements the communication between the instances of the fleet.
//
// Server handles the calls of peers, over Twirp. Client calls peers. Gossiper sends
// heartbeats. With these calls, instances transfer budget between their shares, keep the
// membership table, pass on the configuration, register attempts at request keys and
// follow each other's responses.
//
// Client finds the address of a process by its process ID. Another process may listen at
// that address by then. Therefore the calls Raise, Seal, Claim, Follow and Permit name the
// process that they are meant for, and Give names the share. Any other process refuses
// them. Beat, Docs and Ask name no recipient.
package peers
