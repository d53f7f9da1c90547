package jsonc

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Span is a duration written as text with its unit, such as "250ms" or "1h".
type Span time.Duration

// UnmarshalJSON reads a duration of zero or more from a JSON string.
func (s *Span) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.New(`want a duration such as "250ms"`)
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return errors.Newf("%q is not a duration such as \"250ms\"", text)
	}
	if d < 0 {
		return errors.Newf("%q is negative", text)
	}
	*s = Span(d)
	return nil
}

// MarshalJSON writes the duration as text.
func (s Span) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(s).String())
}
