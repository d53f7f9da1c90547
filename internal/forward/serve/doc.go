// Package serve forwards requests from callers to endpoints and relays the
// responses.
//
// A request passes these stages in order: read, match, reserve, pick, send, relay,
// settle. An endpoint that has named the rate of requests that it takes is picked only with
// a permit, and a request that crashes endpoints is refused. The request is forwarded
// unchanged, apart from its metadata and hop-by-hop headers. The response is relayed
// completely, or the connection to the caller is aborted so that the caller can tell that
// the response is incomplete. Nothing is sent before its tokens are reserved. A request that may have run is
// sent again only if its route allows it to run more than once. A refusal whose
// status says that the request did not run is given only if that is certain.
package serve
