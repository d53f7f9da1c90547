// Package price computes the maximum cost of a call before it runs, and its
// actual cost afterwards. Amounts are integers in micro-units.
package price
