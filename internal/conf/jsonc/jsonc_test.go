package jsonc

import (
	"errors"
	"testing"
	"time"
)

type inner struct {
	Zone  string   `json:"zone"`
	Tags  []string `json:"tags"`
	Count int64    `json:"count"`
	Wait  Duration `json:"wait"`
}

type outer struct {
	Name  string           `json:"name"`
	Parts []inner          `json:"parts"`
	Rates map[string]inner `json:"rates"`
}

// TestDecodeReadsComments decodes a text with comments and trailing commas. It also checks
// that ErrorAt locates an absent field at the enclosing one.
func TestDecodeReadsComments(t *testing.T) {
	var got outer
	src := "{\n  // a comment\n  \"name\": \"x\", /* more */\n  \"parts\": [{\"zone\": \"a\", \"wait\": \"250ms\",}],\n}"
	source, err := Decode("f", []byte(src), &got)
	if err != nil {
		t.Fatal(err)
	}
	if got.Name != "x" || len(got.Parts) != 1 || time.Duration(got.Parts[0].Wait) != 250*time.Millisecond {
		t.Errorf("Decode of a text with comments and a trailing comma set the struct to %+v, want name x and one part with a wait of 250ms", got)
	}
	if f := source.ErrorAt("parts[0].count", "missing"); f.Line() != 4 || f.Column() != 13 {
		t.Errorf("ErrorAt for an absent field of parts[0] returned %v, want line 4, column 13, where parts[0] starts", f)
	}
}

// TestDecodeLocatesErrors checks the position, field and reason of the error that Decode
// returns for each kind of invalid text.
func TestDecodeLocatesErrors(t *testing.T) {
	for src, want := range map[string]string{
		"{\n  \"nam\": 1}":                         "f:2:3: nam: unknown field",
		"{\"name\": \"a\",\n \"name\": \"b\"}":     "f:2:2: name: repeated field",
		"{\"name\": 7}":                            "f:1:10: name: want string, not number",
		"{\"parts\": [{\"tags\": [1]}]}":           "f:1:22: parts[0].tags[0]: want string, not number",
		"{\"parts\": {}}":                          "f:1:11: parts: want an array",
		"{\"rates\": []}":                          "f:1:11: rates: want an object",
		"{\"rates\": {\"a\": {\"zon\": 1}}}":       "f:1:18: rates.a.zon: unknown field",
		"{\"parts\": [{\"count\": 1.5}]}":          "f:1:22: parts[0].count: want int64, not number 1.5",
		"{\"parts\": [{\"wait\": \"soon\"}]}":      "f:1:21: parts[0].wait: \"soon\" is not a duration such as \"250ms\"",
		"{\"parts\": [{\"wait\": \"-1s\"}]}":       "f:1:21: parts[0].wait: \"-1s\" is negative",
		"[1]":                                      "f:1:1: want an object",
		"{\"name\": \"a\"":                         "f:1:13: parsing object after value: unexpected EOF",
		"{\"count\": 9223372036854775808}":         "f:1:2: count: unknown field",
		"{\"parts\": [{\"count\": 1e30}]}":         "f:1:22: parts[0].count: want int64, not number 1e30",
		"{\"parts\": [{\"count\": \"one\"}]}":      "f:1:22: parts[0].count: want int64, not string",
		"{\"parts\": [{\"count\": 1}, {\"a\":1}]}": "f:1:27: parts[1].a: unknown field",
	} {
		var got outer
		_, err := Decode("f", []byte(src), &got)
		var located *Error
		if !errors.As(err, &located) {
			t.Errorf("Decode of %s returned error %v, want an error of type *Error", src, err)
			continue
		}
		if located.Error() != want {
			t.Errorf("Decode of %s returned the error\n%s\nwant\n%s", src, located, want)
		}
	}
}

// FuzzDecode checks that every error of Decode has a position.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name": "x", "parts": [{"wait": "1s"}], "rates": {"a": {"count": 1}}}`))
	f.Add([]byte("{// c\n}"))
	f.Add([]byte(`[[[[`))
	f.Add([]byte("{\"na\\u006de\": \"x\"}"))
	f.Fuzz(func(t *testing.T, src []byte) {
		var got outer
		_, err := Decode("f", src, &got)
		var located *Error
		if err != nil && (!errors.As(err, &located) || located.Line() < 1 || located.Column() < 1) {
			t.Errorf("Decode returned error %v, want an error of type *Error with a line and a column of at least 1", err)
		}
	})
}
