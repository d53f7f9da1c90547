// Package accept turns an HTTP request into a Call: it finds the client
// account by its key and the service by its model or path, reads the body
// within its limit, and bounds what the answer may hold.
package accept
