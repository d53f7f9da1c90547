// Package node implements one instance, with all roles of the system in one process.
//
// A node has three HTTP servers (for callers, peers and operators) and runs the
// background loops of its dependencies. A planned stop announces that the instance is
// leaving, accepts requests during the leave delay, stops accepting requests, waits
// for open ones, returns the shares and uploads the remaining usage records.
package node
