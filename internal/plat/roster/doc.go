// Package roster reads the platform's instance list.
//
// The instance list says which instances and endpoints are live and which of them are
// leaving. It lags behind the actual state. Use it to choose peers and endpoints; a
// safety rule must not depend on it.
package roster
