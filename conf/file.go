package conf

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// Error is one error in a settings file.
type Error struct {
	File string `json:"file"`
	// Line is the line number, starting at one.
	Line  int    `json:"line"`
	Key   string `json:"key"`
	Value string `json:"value"`
	// Text says what is wrong and how to fix it.
	Text string `json:"text"`
}

// Error formats the error as "file:line: key = value: text".
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

// Findings returns each Error that err joins, sorted by line; other errors are left out.
func Findings(err error) []*Error {
	found := []*Error{}
	var collect func(error)
	collect = func(err error) {
		if joined, ok := err.(interface{ Unwrap() []error }); ok {
			for _, e := range joined.Unwrap() {
				collect(e)
			}
			return
		}
		var e *Error
		if errors.As(err, &e) {
			found = append(found, e)
		}
	}
	collect(err)
	slices.SortStableFunc(found, func(a, b *Error) int { return a.Line - b.Line })
	return found
}

// File is a settings file that has been parsed but not yet decoded.
type File struct {
	Name string
	text []byte
	root hujson.Value
}

// Read reads and parses a settings file; the error is an Error if the file isn't JSON with comments.
func Read(name string) (*File, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Parse(name, text)
}

// Parse parses the text of a settings file; name is only used in errors.
func Parse(name string, text []byte) (*File, error) {
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, syntaxError(name, text, err.Error())
	}
	return &File{Name: name, text: text, root: root}, nil
}

// Size returns the length of the file's text in bytes.
func (f *File) Size() int {
	return len(f.text)
}

// syntaxError converts a message of the hujson parser to an Error with the line and a hint.
func syntaxError(name string, text []byte, problem string) *Error {
	problem = strings.TrimPrefix(problem, "hujson: ")
	e := &Error{File: name, Line: 1}
	if position, message, found := strings.Cut(problem, ": "); found {
		var column int
		if n, _ := fmt.Sscanf(position, "line %d, column %d", &e.Line, &column); n > 0 {
			problem = message
		}
	}
	e.Text = "not JSON with comments: " + problem
	switch {
	case strings.Contains(problem, "parsing string"):
		// The parser reports the end of the file, but the unclosed quote is the last one in the text.
		e.Line = lineAt(text, bytes.LastIndexByte(text, '"'))
		e.Text += ": close the quote"
	case strings.HasSuffix(problem, "unexpected EOF") && !strings.Contains(problem, "comment"):
		e.Line = lineAt(text, len(bytes.TrimSpace(text)))
		e.Text += ": close what is open"
	case strings.Contains(problem, "expecting ','"):
		e.Text += ": put a comma after the value before this place"
	}
	return e
}

// lineAt returns the line number of a byte offset.
func lineAt(text []byte, offset int) int {
	return 1 + bytes.Count(text[:max(offset, 0)], []byte("\n"))
}

// pointerEscape escapes a key for use in a JSON pointer (RFC 6901).
var pointerEscape = strings.NewReplacer("~", "~0", "/", "~1")

// Join appends a key to a JSON pointer.
func Join(pointer, key string) string {
	return pointer + "/" + pointerEscape.Replace(key)
}

// findNearest returns the value at a JSON pointer, or its nearest existing parent with exact false.
func (f *File) findNearest(pointer string) (v *hujson.Value, exact bool) {
	for at := pointer; ; {
		if v := f.root.Find(at); v != nil {
			return v, at == pointer
		}
		cut := strings.LastIndex(at, "/")
		if cut < 0 {
			return &f.root, false
		}
		at = at[:cut]
	}
}

// Errorf returns an Error for the value at a JSON pointer; if there is no such value, it has the line of the nearest existing parent and no value.
func (f *File) Errorf(pointer, format string, args ...any) *Error {
	v, exact := f.findNearest(pointer)
	e := f.errorAt(pointer, v, fmt.Sprintf(format, args...))
	if !exact {
		e.Value = ""
	}
	return e
}

// errorAt returns an Error with the line and text of v, which stands at a JSON pointer.
func (f *File) errorAt(pointer string, v *hujson.Value, text string) *Error {
	parts := strings.Split(strings.TrimPrefix(pointer, "/"), "/")
	for i := range parts {
		parts[i] = strings.NewReplacer("~1", "/", "~0", "~").Replace(parts[i])
	}
	return &Error{
		File:  f.Name,
		Line:  lineAt(f.text, v.StartOffset),
		Key:   strings.Join(parts, "."),
		Value: f.valueText(v),
		Text:  text,
	}
}

// valueText returns the text of a value, truncated for error messages, or "" for an object.
func (f *File) valueText(v *hujson.Value) string {
	const maxLength = 60
	if _, ok := v.Value.(*hujson.Object); ok {
		return ""
	}
	s := string(bytes.TrimSpace(f.text[v.StartOffset:v.EndOffset]))
	if len(s) > maxLength {
		return s[:maxLength] + "..."
	}
	return s
}

// sortedKeys returns the keys of a map in order.
func sortedKeys(m map[string]string) []string {
	return slices.Sorted(maps.Keys(m))
}
