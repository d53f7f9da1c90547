// Package health reads the load reports of model engines.
//
// Reports lag, so they are hints. One that says that the endpoint is leaving
// counts at once.
package health
