// Package roster reads the platform's list of instances.
//
// The list says which instances are live and which are leaving. It lags behind the
// actual state. Use it to choose peers and endpoints; a safety rule must not depend
// on it.
package roster
