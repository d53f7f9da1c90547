// Package accept turns an HTTP request into a Call. It finds the client account
// by its API key and the service by its model or path, reads a body of limited
// size, and limits the tokens of the response.
package accept
