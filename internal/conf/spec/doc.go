// Package spec parses and validates service documents. A service document configures how
// the fleet serves one service: its endpoints, prices, budgets, timeouts and limits. The
// team that runs the service owns the document.
//
// A service document is JSON with comments. Parse decodes and validates it as a whole and
// rejects a document with any error. The result, a Service, can be read only through its
// methods and never changes, so that a request uses one version of the document from
// start to end.
package spec
