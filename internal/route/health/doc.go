// Package health polls the load reports of model engines.
//
// A report shows the load of an earlier moment, so it is only a hint. But a report
// that the engine is leaving takes effect at once.
package health
