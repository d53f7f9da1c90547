package escrow

import "errors"

// isAny reports whether err is, or wraps, one of the targets. It compares
// identities only: on the path of a refusal most comparisons fail, and to match
// messages as well would cost more than the rest of the refusal.
func isAny(err error, targets ...error) bool {
	for _, t := range targets {
		if errors.Is(err, t) {
			return true
		}
	}
	return false
}
