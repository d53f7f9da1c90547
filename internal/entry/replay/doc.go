// Package replay runs one attempt for each idempotency key and replays its
// response.
//
// The first request with a key starts the attempt. Later requests with the same
// key and body get its response from the start, while it is produced and for a
// configured time after that. A request with the same key and a different body
// is refused. The memory for finished responses is limited. If a response has
// been evicted, requests with its key are refused until the entry expires, and
// the call is not run again.
package replay
