// Package health polls the load reports of model engines.
//
// Reports lag behind the load, so they are only hints. A report that the endpoint
// is leaving takes effect at once.
package health
