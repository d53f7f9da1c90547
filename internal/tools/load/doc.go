// Package load sends requests to the fleet as callers do, measures the answers
// and checks them.
//
// Against the engine stand-in it knows the whole answer to every request, byte
// by byte. Where it also knows the budgets, it keeps a central ledger beside
// the fleet, with instant knowledge and no failures, and counts as false each
// refusal that this ledger could have paid for at that moment.
package load
