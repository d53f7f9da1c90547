package scan

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"testing"
)

func equalText(a, b json.RawMessage) bool { return bytes.Equal(a, b) }

// FuzzScan splits arbitrary texts. A text that is an object or an array for encoding/json must
// be split into the same members.
func FuzzScan(f *testing.F) {
	for _, text := range []string{
		`{"a":1,"b":{"c":[1,2,"}"]}}`, `[1, "x\"]", null, [[]], {}]`, `[]`, `{}`, `{"a":1e400,"a":2}`, `[1,]`, `[,1]`, `{"a"}`, `["`, `[1}`, `{"\u0061": "\\"}`, "[1]x", "[\xff]", `["x" 1]`, `[1 2]`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		fields, fieldsErr := Fields(data)
		items, itemsErr := Items(data)
		var wantFields map[string]json.RawMessage
		if err := json.Unmarshal(data, &wantFields); err == nil && wantFields != nil {
			if fieldsErr != nil || !maps.EqualFunc(fields, wantFields, equalText) {
				t.Errorf("Fields(%q) = %q, %v, want %q", data, fields, fieldsErr, wantFields)
			}
		}
		var wantItems []json.RawMessage
		if err := json.Unmarshal(data, &wantItems); err == nil && wantItems != nil {
			if itemsErr != nil || !slices.EqualFunc(items, wantItems, equalText) {
				t.Errorf("Items(%q) = %q, %v, want %q", data, items, itemsErr, wantItems)
			}
		}
	})
}

// A response of the store that is cut off must not be taken for a shorter one.
func TestCutOffTextIsNotSplit(t *testing.T) {
	const text = `{"items":[{"metadata":{"name":"a\"b","rev":1},"spec":{"x":[1,2]}}],"rest":false}`
	for n := range len(text) {
		if fields, err := Fields([]byte(text[:n])); err == nil {
			t.Errorf("Fields split the text %q, which is cut off, into %q", text[:n], fields)
		}
	}
}

// Values nested a million deep are split off like others.
func TestDeepValueIsSplitOff(t *testing.T) {
	deep := strings.Repeat("[", 1<<20) + strings.Repeat("]", 1<<20)
	items, err := Items([]byte("[1," + deep + ",2]"))
	if err != nil || len(items) != 3 || string(items[1]) != deep {
		t.Errorf("Items split the text into %d items, error %v, want 3", len(items), err)
	}
}
