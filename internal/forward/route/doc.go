// Package route defines the configuration of forwarded routes and matches requests
// to routes.
//
// A Table is one version of the configuration: the routes, the services behind
// them, the client accounts with their keys and prepaid totals, and the limits on
// callers' requests. A Table is immutable; each new version is a new Table. A
// request belongs to the route with its host and the longest matching prefix of its
// path. The route defines whether requests may run more than once, how long they
// may take, and which services they go to.
package route
