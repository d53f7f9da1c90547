// Package front is an entry instance that serves forwarded routes on the users'
// platform.
//
// The idea. The instance keeps nothing that must last. It follows the routes and
// the endpoints on the platform's store, hears of them from its peers where the
// store turns it away, draws shares of budgets, and serves. It counts as ready
// once it knows a configuration and endpoints, until it leaves.
package front
