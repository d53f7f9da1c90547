// Package load sends requests to the fleet as clients do, measures the responses
// and checks them.
//
// The text that an engine stand-in generates for a request is known in advance, so that
// each response can be compared with it. If the amounts paid into the budgets are known
// too, a Ledger can account for the same requests. It is an ideal central ledger, which
// sees every change immediately and never fails. A refusal because the budget is
// exhausted or unreachable counts as false if this ledger could have paid for the request
// at that moment.
package load
