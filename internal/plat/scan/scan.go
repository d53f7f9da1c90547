package scan

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
)

// errNotJSON means that a text is not one JSON value of the expected type.
var errNotJSON = errors.New("scan: not a JSON value of the expected type")

// Fields splits the text of a JSON object into the texts of its values, by key; of a
// repeated key the last one counts. The values are not parsed, so that one that can't be read
// does not hide the others. Nesting costs neither stack nor memory.
func Fields(data []byte) (map[string]json.RawMessage, error) {
	fields := map[string]json.RawMessage{}
	s := scanner{data: data}
	err := s.each('{', '}', func() error {
		text, err := s.value()
		if err != nil {
			return err
		}
		var key string
		if err := json.Unmarshal(text, &key); err != nil || !s.take(':') {
			return errNotJSON
		}
		fields[key], err = s.value()
		return err
	})
	return fields, err
}

// Items splits the text of a JSON array into the texts of its items, like Fields. The
// text null, and an empty one, have no items.
func Items(data []byte) ([]json.RawMessage, error) {
	if len(data) == 0 || string(data) == "null" {
		return nil, nil
	}
	var items []json.RawMessage
	s := scanner{data: data}
	err := s.each('[', ']', func() error {
		item, err := s.value()
		items = append(items, item)
		return err
	})
	return items, err
}

// scanner reads a JSON text from its begin to its end.
type scanner struct {
	data []byte
	pos  int // index of the next byte
}

// each calls member at the begin of each member of an object or array, which is all of the
// text. First and last are its brackets.
func (s *scanner) each(first, last byte, member func() error) error {
	if !s.take(first) {
		return errNotJSON
	}
	for n := 0; !s.take(last); n++ {
		if n > 0 && !s.take(',') {
			return errNotJSON
		}
		if err := member(); err != nil {
			return err
		}
	}
	if s.skipSpace(); s.pos < len(s.data) {
		return errNotJSON
	}
	return nil
}

func (s *scanner) skipSpace() {
	for s.pos < len(s.data) && strings.IndexByte(" \t\r\n", s.data[s.pos]) >= 0 {
		s.pos++
	}
}

// take skips space and, if c follows, c as well. It reports whether c follows.
func (s *scanner) take(c byte) bool {
	s.skipSpace()
	if s.pos == len(s.data) || s.data[s.pos] != c {
		return false
	}
	s.pos++
	return true
}

// value returns the text of the next value. It is only split off, not checked.
func (s *scanner) value() (json.RawMessage, error) {
	s.skipSpace()
	start := s.pos
	for depth := 0; s.pos < len(s.data); {
		switch s.data[s.pos] {
		case '"':
			if !s.skipString() {
				return nil, errNotJSON
			}
		case '{', '[':
			depth++
			s.pos++
		case '}', ']':
			depth--
			s.pos++
		case ',', ':':
			if depth == 0 {
				return nil, errNotJSON
			}
			s.pos++
		default:
			s.skipPlain()
		}
		if depth < 0 {
			return nil, errNotJSON
		}
		if depth == 0 {
			return json.RawMessage(s.data[start:s.pos]), nil
		}
	}
	return nil, errNotJSON
}

// skipString skips a string, and reports whether it has an end.
func (s *scanner) skipString() bool {
	for s.pos++; s.pos < len(s.data); s.pos++ {
		switch s.data[s.pos] {
		case '\\':
			s.pos++
		case '"':
			s.pos++
			return true
		}
	}
	return false
}

// skipPlain skips at least one byte, up to the next bracket, quote, comma, colon or space.
func (s *scanner) skipPlain() {
	for s.pos++; s.pos < len(s.data) && strings.IndexByte("{}[]\",: \t\r\n", s.data[s.pos]) < 0; s.pos++ {
	}
}
