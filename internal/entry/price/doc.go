// Package price says what a call can cost at most before it runs, and what it
// did cost after. Amounts are integers in micro-units.
package price
