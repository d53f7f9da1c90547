// Package setup holds the settings of one instance: its name, availability
// zone and addresses, where the platform is, and how it logs and stops.
//
// Settings are JSON with comments, read once at start. What the fleet does for
// a service is not here but in the service's document.
package setup
