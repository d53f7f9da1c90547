// Package front implements an entry instance that serves forwarded routes on the
// users' platform.
//
// The instance has no durable state of its own. It watches the routes and the
// endpoints in the platform's store, draws shares of budgets, and forwards requests.
// Its peers send it the routes too, and the IDs of endpoints that are leaving, so
// that it has both while the store refuses its calls. It is ready once it has a
// configuration and endpoints and its start is complete, until it leaves.
package front
