package conf

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// Error is one finding in a settings file.
type Error struct {
	File string
	// Line counts from one.
	Line  int
	Key   string
	Value string
	// Text says what is wrong and how to mend it.
	Text string
}

// Error returns the finding as "file:line: key = value: text".
func (e *Error) Error() string {
	s := fmt.Sprintf("%s:%d: ", e.File, e.Line)
	if e.Key != "" {
		s += e.Key
		if e.Value != "" {
			s += " = " + e.Value
		}
		s += ": "
	}
	return s + e.Text
}

// File is a settings file that has been parsed but not yet decoded.
type File struct {
	Name string
	text []byte
	root hujson.Value
}

// Read parses a settings file; the error is an Error where the file isn't JSON with comments.
func Read(name string) (*File, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Parse(name, text)
}

// Parse parses the text of a settings file.
func Parse(name string, text []byte) (*File, error) {
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, &Error{File: name, Line: lineOfSyntax(err), Text: "not JSON with comments: " + err.Error()}
	}
	return &File{Name: name, text: text, root: root}, nil
}

func lineOfSyntax(err error) int {
	line := 1
	text := err.Error()
	if i := strings.Index(text, "line "); i >= 0 {
		fmt.Sscanf(text[i:], "line %d", &line)
	}
	return line
}

// JSON returns the content as plain JSON.
func (f *File) JSON() []byte {
	plain := f.root.Clone()
	plain.Standardize()
	return plain.Pack()
}

// Line returns the line of the value at a JSON pointer, such as "/regions/fyn", or of its nearest parent that exists.
func (f *File) Line(pointer string) int {
	for {
		if v := f.root.Find(pointer); v != nil {
			return 1 + bytes.Count(f.text[:v.StartOffset], []byte("\n"))
		}
		cut := strings.LastIndex(pointer, "/")
		if cut < 0 {
			return 1
		}
		pointer = pointer[:cut]
	}
}

// Value returns the text of the value at a JSON pointer, or "".
func (f *File) Value(pointer string) string {
	v := f.root.Find(pointer)
	if v == nil {
		return ""
	}
	return string(bytes.TrimSpace(f.text[v.StartOffset:v.EndOffset]))
}

// Errorf returns an Error for the value at a JSON pointer.
func (f *File) Errorf(pointer, format string, args ...any) *Error {
	return &Error{
		File:  f.Name,
		Line:  f.Line(pointer),
		Key:   strings.ReplaceAll(strings.TrimPrefix(pointer, "/"), "/", "."),
		Value: shorten(f.Value(pointer)),
		Text:  fmt.Sprintf(format, args...),
	}
}

func shorten(s string) string {
	const longest = 60
	if len(s) > longest {
		return s[:longest] + "..."
	}
	return s
}

// Decode fills the struct that into points to and fails with an Error on unknown keys and wrong values.
func (f *File) Decode(into any) error {
	return f.decodeAt("", f.JSON(), reflect.ValueOf(into).Elem())
}

// decodeAt decodes one object key by key, so that each error can name its place.
func (f *File) decodeAt(pointer string, text []byte, into reflect.Value) error {
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(text, &raw); err != nil {
		return f.Errorf(pointer, "use an object")
	}
	for key, value := range raw {
		at := pointer + "/" + key
		field, known := fieldFor(into, key)
		if !known {
			return f.Errorf(at, "unknown key: use one of %s", strings.Join(keysOf(into.Type()), ", "))
		}
		if err := f.decodeField(at, value, field); err != nil {
			return err
		}
	}
	return nil
}

func (f *File) decodeField(at string, value json.RawMessage, field reflect.Value) error {
	_, own := field.Addr().Interface().(interface{ UnmarshalText([]byte) error })
	if field.Kind() == reflect.Struct && !own {
		return f.decodeAt(at, value, field)
	}
	err := json.Unmarshal(value, field.Addr().Interface())
	var wrongType *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &wrongType):
		return f.Errorf(at, "wrong type: use %s", wrongType.Type)
	default:
		return f.Errorf(at, "%v", err)
	}
}

func fieldFor(into reflect.Value, key string) (reflect.Value, bool) {
	for i := range into.NumField() {
		if tagOf(into.Type().Field(i)) == key {
			return into.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func keysOf(t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		keys = append(keys, tagOf(t.Field(i)))
	}
	return keys
}

func tagOf(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}
