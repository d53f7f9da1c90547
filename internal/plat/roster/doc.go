// Package roster reads the platform's instance list.
//
// The instance list says which instances and endpoints are live and which of them are
// leaving. The list lags behind the actual state. Use it to choose peers and endpoints. No
// safety rule, such as that a budget is never overspent, may depend on it.
package roster
