// Package choose picks the endpoint for a call.
//
// The Board counts the requests that this instance has open at each endpoint,
// and adds what the endpoint's last load report says of others, less the older
// the report is. It stays in its own zone while that is no worse by the
// measure of load, follows the prefix cache under a load bound, and otherwise
// takes the less loaded of two random endpoints. Endpoints that fail are
// ejected and tried again one request at a time. Endpoints that leave get
// nothing. A call that would have to wait longer for its first token than its
// priority allows is refused at once.
package choose
