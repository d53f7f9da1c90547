// Package spec parses and validates service documents. A service document
// configures how the fleet serves one service; the team that runs the service owns
// it.
//
// A document is JSON with comments. Parse decodes and validates it as a whole and
// rejects a document with any error. The rest of the program reads a Service
// through accessors and never changes it, so that a request uses one version from
// start to end.
package spec
