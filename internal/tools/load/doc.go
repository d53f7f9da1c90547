// Package load sends requests to the fleet as clients do, measures the responses
// and checks them.
//
// The response of an engine stand-in to a request is known byte by byte, so that
// each response can be compared with it. If the budgets are known too, the package
// keeps a central ledger next to the fleet, which sees every change immediately and
// never fails. A refusal because the budget is exhausted or unreachable counts as
// false if this ledger could have paid for the request at that moment.
package load
