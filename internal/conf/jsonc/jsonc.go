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

// Error is a fault in a text, placed by line and column, both from 1.
type Error struct {
	file   string
	field  string
	reason string
	line   int
	column int
}

// Error returns "file:line:column: field: reason".
func (e *Error) Error() string {
	if e.field == "" {
		return fmt.Sprintf("%s:%d:%d: %s", e.file, e.line, e.column, e.reason)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", e.file, e.line, e.column, e.field, e.reason)
}

// Line returns the line of the fault, from 1.
func (e *Error) Line() int { return e.line }

// Column returns the column of the fault in bytes, from 1.
func (e *Error) Column() int { return e.column }

// Field returns the path of the field at fault, such as "endpoints[2].zone".
func (e *Error) Field() string { return e.field }

// SourceMap is a decoded text that remembers where each field stands.
type SourceMap struct {
	file   string
	src    []byte
	places map[string]int
}

// Decode reads src, named file in errors, into the struct that target points
// to. Errors are of type *Error.
func Decode(file string, src []byte, target any) (*SourceMap, error) {
	t := &SourceMap{file: file, src: src, places: map[string]int{}}
	root, err := hujson.Parse(src)
	if err != nil {
		return nil, t.syntax(err)
	}
	if err := t.value("", &root, reflect.ValueOf(target).Elem()); err != nil {
		return nil, err
	}
	return t, nil
}

// ErrorAt places reason at the field with the given path. A path that the text
// does not have is placed at its closest enclosing field.
func (t *SourceMap) ErrorAt(path, reason string) *Error {
	at := path
	for at != "" {
		if _, ok := t.places[at]; ok {
			break
		}
		at = at[:max(strings.LastIndexAny(at, ".["), 0)]
	}
	return t.fault(path, t.places[at], reason)
}

func (t *SourceMap) fault(path string, offset int, reason string) *Error {
	before := string(t.src[:min(offset, len(t.src))])
	line := strings.Count(before, "\n") + 1
	column := len(before) - strings.LastIndex(before, "\n")
	return &Error{file: t.file, field: path, reason: reason, line: line, column: column}
}

// syntax places an error of the parser, which reports "line L, column C".
func (t *SourceMap) syntax(err error) *Error {
	e := &Error{file: t.file, reason: err.Error(), line: 1, column: 1}
	var line, column int
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	if n, _ := fmt.Sscanf(text, "line %d, column %d:", &line, &column); n == 2 {
		e.line, e.column = line, column
		_, rest, _ := strings.Cut(text, ": ")
		e.reason = rest
	}
	return e
}

func (t *SourceMap) value(path string, v *hujson.Value, target reflect.Value) error {
	t.places[path] = v.StartOffset
	if _, ok := target.Addr().Interface().(json.Unmarshaler); ok {
		return t.leaf(path, v, target)
	}
	switch target.Kind() {
	case reflect.Struct:
		return t.object(path, v, target)
	case reflect.Map:
		return t.table(path, v, target)
	case reflect.Slice:
		return t.array(path, v, target)
	default:
		return t.leaf(path, v, target)
	}
}

func (t *SourceMap) leaf(path string, v *hujson.Value, target reflect.Value) error {
	plain := v.Clone()
	plain.Standardize()
	err := json.Unmarshal(plain.Pack(), target.Addr().Interface())
	if err == nil {
		return nil
	}
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return t.fault(path, v.StartOffset, fmt.Sprintf("want %s, not %s", wrong.Type, wrong.Value))
	}
	return t.fault(path, v.StartOffset, err.Error())
}

func (t *SourceMap) object(path string, v *hujson.Value, target reflect.Value) error {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		return t.fault(path, v.StartOffset, "want an object")
	}
	fields := fieldsOf(target.Type())
	return t.members(path, o, func(name, below string, m *hujson.ObjectMember) error {
		index, ok := fields[name]
		if !ok {
			return t.fault(below, m.Name.StartOffset, "unknown field")
		}
		return t.value(below, &m.Value, target.Field(index))
	})
}

func (t *SourceMap) table(path string, v *hujson.Value, target reflect.Value) error {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		return t.fault(path, v.StartOffset, "want an object")
	}
	target.Set(reflect.MakeMap(target.Type()))
	return t.members(path, o, func(name, below string, m *hujson.ObjectMember) error {
		item := reflect.New(target.Type().Elem()).Elem()
		if err := t.value(below, &m.Value, item); err != nil {
			return err
		}
		target.SetMapIndex(reflect.ValueOf(name), item)
		return nil
	})
}

// members calls visit for each member of o and refuses repeated names.
func (t *SourceMap) members(path string, o *hujson.Object, visit func(name, below string, m *hujson.ObjectMember) error) error {
	seen := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		below := name
		if path != "" {
			below = path + "." + name
		}
		if seen[name] {
			return t.fault(below, m.Name.StartOffset, "repeated field")
		}
		seen[name] = true
		if err := visit(name, below, m); err != nil {
			return err
		}
	}
	return nil
}

func (t *SourceMap) array(path string, v *hujson.Value, target reflect.Value) error {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		return t.fault(path, v.StartOffset, "want an array")
	}
	items := reflect.MakeSlice(target.Type(), len(a.Elements), len(a.Elements))
	for i := range a.Elements {
		below := path + "[" + strconv.Itoa(i) + "]"
		if err := t.value(below, &a.Elements[i], items.Index(i)); err != nil {
			return err
		}
	}
	target.Set(items)
	return nil
}

func fieldsOf(s reflect.Type) map[string]int {
	fields := make(map[string]int, s.NumField())
	for i := range s.NumField() {
		name, _, _ := strings.Cut(s.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}
