// Package meta holds what the headers of a forwarded request and of its answer
// say, in the product's own terms.
//
// The idea. Header names and formats belong to whoever speaks them. A Dialect
// decodes them once, on arrival, into a Request or an Answer, and encodes a Sent
// for an endpoint. All that decides works on these types.
package meta
