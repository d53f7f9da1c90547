// Package meter counts what an instance does, for the metrics page.
package meter
