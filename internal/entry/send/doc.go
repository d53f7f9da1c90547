// Package send sends requests to endpoints. It starts, resumes and cancels
// streams of model engines, and makes calls of plain services.
//
// Its errors tell apart two cases. With ErrNotAccepted or ErrLeaving the endpoint
// provably did not accept the request, so that a retry is safe. With ErrBroken or
// ErrStalled the endpoint may have accepted it.
//
// A call that must not run twice is sent on a new connection, for two reasons. A
// middlebox may have dropped the state of an idle connection, but not that of a new
// one. The HTTP library may repeat a request on a reused connection, but does not
// repeat one on a new connection.
package send
