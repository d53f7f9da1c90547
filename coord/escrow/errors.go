package escrow

import "errors"

// isAny reports whether err is, or wraps, one of the targets. It compares
// identities only: when a reservation is refused, most comparisons fail, and
// comparing messages as well, as Is of cockroachdb/errors does, would cost more
// than the rest of the refusal.
func isAny(err error, targets ...error) bool {
	for _, t := range targets {
		if errors.Is(err, t) {
			return true
		}
	}
	return false
}
