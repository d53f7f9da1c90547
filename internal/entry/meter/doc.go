// Package meter holds the metrics of an instance and writes them in the
// Prometheus text format.
package meter
