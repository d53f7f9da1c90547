// Package replay runs one attempt for each idempotency key and replays its
// response.
//
// The first request with an idempotency key starts the attempt. Later requests with
// the same key and the same content get the response of this attempt from its start,
// while it is produced and for a configured time after that. A request with the same
// key and different content is refused.
//
// The memory for finished responses is limited. If a response has been evicted,
// requests with its idempotency key are refused until the entry of the key expires.
// The call is not run again.
package replay
