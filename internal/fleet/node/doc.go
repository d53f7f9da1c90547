// Package node is one instance: all roles of the system in one process.
//
// It holds the three HTTP surfaces (callers, peers, operators), runs the loops
// of the parts, and stops in order: it announces its leaving, serves on for a
// lead, takes no new work, finishes what is open, returns its shares and files
// its records.
package node
