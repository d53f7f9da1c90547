// Package replay lets one attempt run for each idempotency key.
//
// The first request with a key becomes the attempt; later ones with the same
// body follow its answer from the start, while it is made and for a stated time
// after. A different body under the same key is refused. Finished answers are
// kept within a bound of memory; an answer that had to go is refused as gone,
// and never run again within its time.
package replay
