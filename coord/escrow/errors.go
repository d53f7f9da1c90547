package escrow

import "errors"

// isAny reports whether err is, or wraps, one of the targets. It compares
// errors by identity only. Is of cockroachdb/errors also compares their
// messages; since most comparisons fail when a reservation is refused, that
// would cost more than the rest of the refusal.
func isAny(err error, targets ...error) bool {
	for _, t := range targets {
		if errors.Is(err, t) {
			return true
		}
	}
	return false
}
