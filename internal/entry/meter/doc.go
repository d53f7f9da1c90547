// Package meter holds the metrics of an instance and writes the metrics page.
package meter
