// Package route holds the configuration of forwarded routes and finds the route
// of a request.
//
// The idea. A Table is one version of the configuration: routes, the services
// behind them, the client accounts with their keys and prepaid totals, and the
// limits on what callers may send. It never changes; a new version is a new
// Table. A request belongs to the route of its host with the longest prefix of
// its path. A route says what may be repeated, for how long a request may take,
// and to which services it goes.
package route
