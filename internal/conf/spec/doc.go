// Package spec holds the service document: the one text, owned by the team
// that runs a service, that says what the fleet does for it.
//
// A document is JSON with comments. Parse reads and checks it as a whole; a
// document with any fault is refused as a whole. The rest of the program reads
// a Service through accessors and never changes it, so that a request can keep
// one version from start to end.
package spec
