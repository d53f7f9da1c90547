// Package meta defines the metadata that the headers of a forwarded request and of
// its response carry, independent of header names and formats.
//
// A Codec is specific to one set of headers. It decodes them once, on arrival, into
// a Request or a Response, and encodes an Outbound for an endpoint. All other code
// works on these types.
package meta
