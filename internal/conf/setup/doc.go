// Package setup holds the settings of one instance of the fleet: its name, availability
// zone and addresses, the URL of the platform, and how it logs and stops.
//
// Settings are a file of JSON with comments, which the instance reads at its start. How
// the fleet serves a service is not part of the settings. It is in the service document,
// see package spec.
package setup
