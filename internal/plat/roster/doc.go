// Package roster reads the platform's instance list.
//
// The list shows which instances are live and which are leaving, and it lags.
// It helps to choose peers and endpoints; no safety rule rests on it.
package roster
