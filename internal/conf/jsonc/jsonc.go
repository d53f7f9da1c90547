package jsonc

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// Error is an error at a position of a text that Decode was called with.
type Error struct {
	file   string // name of the text
	field  string // path of the invalid field, empty if the error concerns no field
	reason string
	line   int // starting at 1
	column int // in bytes, starting at 1
}

// Error returns "file:line:column: field: reason", without the field if there is none.
func (e *Error) Error() string {
	if e.field == "" {
		return fmt.Sprintf("%s:%d:%d: %s", e.file, e.line, e.column, e.reason)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", e.file, e.line, e.column, e.field, e.reason)
}

// Line returns the line of the error, starting at 1.
func (e *Error) Line() int { return e.line }

// Column returns the column of the error in bytes, starting at 1.
func (e *Error) Column() int { return e.column }

// Field returns the path of the invalid field, such as "endpoints[2].zone". It is empty if
// the error concerns no field.
func (e *Error) Field() string { return e.field }

// SourceMap holds a decoded text and the position of each of its fields.
type SourceMap struct {
	file    string         // name of the text in errors
	src     []byte         // the text
	offsets map[string]int // offsets of the values in src, in bytes, by path of the field
}

// Decode decodes the JSON text src, which may have comments and trailing commas, into the
// struct that target points to. Fields that src does not contain keep their values. File
// is the name of src in errors. Errors are of type *Error. The returned SourceMap gives
// the position of each field in src.
func Decode(file string, src []byte, target any) (*SourceMap, error) {
	s := &SourceMap{file: file, src: src, offsets: map[string]int{}}
	root, err := hujson.Parse(src)
	if err != nil {
		return nil, s.syntaxError(err)
	}
	if err := s.decodeValue("", &root, reflect.ValueOf(target).Elem()); err != nil {
		return nil, err
	}
	return s, nil
}

// ErrorAt returns an error with the given reason and the position of the field at path,
// such as "endpoints[2].zone". If the text does not contain that field, the position is
// that of the closest enclosing field.
func (s *SourceMap) ErrorAt(path, reason string) *Error {
	closest := path
	for closest != "" {
		if _, ok := s.offsets[closest]; ok {
			break
		}
		closest = closest[:max(strings.LastIndexAny(closest, ".["), 0)]
	}
	return s.errorAtOffset(path, s.offsets[closest], reason)
}

// errorAtOffset returns an error about the field at path, with the line and column of a
// byte offset in the text.
func (s *SourceMap) errorAtOffset(path string, offset int, reason string) *Error {
	before := string(s.src[:min(offset, len(s.src))])
	line := strings.Count(before, "\n") + 1
	column := len(before) - strings.LastIndex(before, "\n")
	return &Error{file: s.file, field: path, reason: reason, line: line, column: column}
}

// syntaxError converts an error of the parser hujson into an Error. It takes the position
// from the prefix "line L, column C" of the parser's text; without that prefix, the
// position is the start of the text.
func (s *SourceMap) syntaxError(err error) *Error {
	e := &Error{file: s.file, reason: err.Error(), line: 1, column: 1}
	var line, column int
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	if n, _ := fmt.Sscanf(text, "line %d, column %d:", &line, &column); n == 2 {
		e.line, e.column = line, column
		_, rest, _ := strings.Cut(text, ": ")
		e.reason = rest
	}
	return e
}

// decodeValue decodes the JSON value v into target and records the offset of v. Path is the
// path of v's field, empty for the whole text.
func (s *SourceMap) decodeValue(path string, v *hujson.Value, target reflect.Value) error {
	s.offsets[path] = v.StartOffset
	if _, ok := target.Addr().Interface().(json.Unmarshaler); ok {
		return s.decodeLeaf(path, v, target)
	}
	switch target.Kind() {
	case reflect.Struct:
		return s.decodeObject(path, v, target)
	case reflect.Map:
		return s.decodeMap(path, v, target)
	case reflect.Slice:
		return s.decodeArray(path, v, target)
	default:
		return s.decodeLeaf(path, v, target)
	}
}

// decodeLeaf decodes a whole JSON value into target with encoding/json. It is used for
// targets that are not structs, maps or slices, and for types with a method UnmarshalJSON.
func (s *SourceMap) decodeLeaf(path string, v *hujson.Value, target reflect.Value) error {
	standard := v.Clone()
	standard.Standardize()
	err := json.Unmarshal(standard.Pack(), target.Addr().Interface())
	if err == nil {
		return nil
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return s.errorAtOffset(path, v.StartOffset, fmt.Sprintf("want %s, not %s", typeErr.Type, typeErr.Value))
	}
	return s.errorAtOffset(path, v.StartOffset, err.Error())
}

// decodeObject decodes a JSON object into a struct. It returns an error for a member that
// has no field in the struct.
func (s *SourceMap) decodeObject(path string, v *hujson.Value, target reflect.Value) error {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		return s.errorAtOffset(path, v.StartOffset, "want an object")
	}
	fields := fieldIndexes(target.Type())
	return s.forEachMember(path, o, func(name, childPath string, m *hujson.ObjectMember) error {
		index, ok := fields[name]
		if !ok {
			return s.errorAtOffset(childPath, m.Name.StartOffset, "unknown field")
		}
		return s.decodeValue(childPath, &m.Value, target.Field(index))
	})
}

// decodeMap decodes a JSON object into a new map with string keys.
func (s *SourceMap) decodeMap(path string, v *hujson.Value, target reflect.Value) error {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		return s.errorAtOffset(path, v.StartOffset, "want an object")
	}
	target.Set(reflect.MakeMap(target.Type()))
	return s.forEachMember(path, o, func(name, childPath string, m *hujson.ObjectMember) error {
		item := reflect.New(target.Type().Elem()).Elem()
		if err := s.decodeValue(childPath, &m.Value, item); err != nil {
			return err
		}
		target.SetMapIndex(reflect.ValueOf(name), item)
		return nil
	})
}

// forEachMember calls visit for each member of the JSON object o, with the member's name
// and path. Path is the path of o. It stops with an error at a repeated name, or at the
// first error of visit.
func (s *SourceMap) forEachMember(path string, o *hujson.Object, visit func(name, childPath string, m *hujson.ObjectMember) error) error {
	seen := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		childPath := name
		if path != "" {
			childPath = path + "." + name
		}
		if seen[name] {
			return s.errorAtOffset(childPath, m.Name.StartOffset, "repeated field")
		}
		seen[name] = true
		if err := visit(name, childPath, m); err != nil {
			return err
		}
	}
	return nil
}

// decodeArray decodes a JSON array into a new slice.
func (s *SourceMap) decodeArray(path string, v *hujson.Value, target reflect.Value) error {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		return s.errorAtOffset(path, v.StartOffset, "want an array")
	}
	items := reflect.MakeSlice(target.Type(), len(a.Elements), len(a.Elements))
	for i := range a.Elements {
		childPath := path + "[" + strconv.Itoa(i) + "]"
		if err := s.decodeValue(childPath, &a.Elements[i], items.Index(i)); err != nil {
			return err
		}
	}
	target.Set(items)
	return nil
}

// fieldIndexes returns the indexes of the fields of the struct type s, by their names in
// JSON. It leaves out fields without such a name.
func fieldIndexes(s reflect.Type) map[string]int {
	fields := make(map[string]int, s.NumField())
	for i := range s.NumField() {
		name, _, _ := strings.Cut(s.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}
