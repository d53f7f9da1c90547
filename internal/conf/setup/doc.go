// Package setup holds the settings of one instance: its name, availability zone
// and addresses, the address of the platform, and how it logs and stops.
//
// Settings are JSON with comments, read at start. The configuration of a service is
// not part of the settings; it is in the service document, see package spec.
package setup
