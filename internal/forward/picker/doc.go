// Package picker tracks the endpoints of forwarded services and picks one for each
// request.
//
// A Picker takes the entries of the platform's registry and the results of
// requests. For each endpoint it tracks this instance's open requests, the prompt
// parts that the endpoint has prefilled recently, and its failure ratio. A Pick
// places one request at the endpoint for which package place computes the lowest
// cost, and records the result when the request ends. Endpoints that are leaving
// get no new requests. For each endpoint that names the rate of requests that it takes from
// all instances, the Picker keeps that limit; who may send at this rate is decided
// elsewhere.
package picker
