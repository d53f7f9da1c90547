// Package send sends requests to endpoints: it starts, resumes and cancels
// streams of model engines, and makes calls of plain services.
//
// Its errors distinguish an endpoint that provably did not accept a request
// (ErrNotAccepted, ErrLeaving), so that a retry is safe, from one that may have
// accepted it (ErrBroken, ErrStalled). A call that must not run twice is sent on
// a new connection. A middlebox may have dropped the state of an idle connection
// but not that of a new one, and the HTTP library does not repeat a request on a
// new connection.
package send
