// Package front implements an entry instance that serves forwarded routes on the users'
// platform. It forwards each request to an endpoint of a service that the route names.
//
// The instance has no durable state of its own. It watches the routes and the endpoints
// in the platform's store and reserves prepaid budget for each request. Its peers also
// send it the routes, the entries of endpoints and the IDs of endpoints that are leaving,
// so that it has them while the store refuses its calls. The instance is ready for requests
// while it has a configuration and endpoints and its start is complete, but not after the
// start of a planned stop.
package front
