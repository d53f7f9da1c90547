package jsonc

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a duration written as text with its unit, such as "250ms" or "1h".
type Duration time.Duration

// UnmarshalJSON sets the duration from a JSON string such as "250ms". It fails for anything
// else and for a negative duration.
func (s *Duration) UnmarshalJSON(data []byte) error {
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
	*s = Duration(d)
	return nil
}

// MarshalJSON encodes the duration as a JSON string that UnmarshalJSON accepts, unless the
// duration is negative.
func (s Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(s).String())
}
