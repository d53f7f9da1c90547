// Package tunnel connects an instance to an endpoint by way of another instance, for the time in
// which the first one has no path of its own.
//
// The instance asks a peer over HTTP to open a connection to the endpoint's address, and
// switches its connection to the peer to a tunnel. What it sends then goes to the endpoint as
// it is. What the endpoint sends comes back in frames, of which the last one says that the
// endpoint has closed its connection. A tunnel that ends without that frame has broken, so that a
// peer which dies is never taken for the end of a response.
package tunnel
