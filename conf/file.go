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

// Error is one finding in a settings file.
type Error struct {
	File string `json:"file"`
	// Line counts from one.
	Line  int    `json:"line"`
	Key   string `json:"key"`
	Value string `json:"value"`
	// Text says what is wrong and how to mend it.
	Text string `json:"text"`
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

// Findings returns all findings that an error joins, in the order of their lines; other errors are left out.
func Findings(err error) []*Error {
	all := []*Error{}
	var collect func(error)
	collect = func(err error) {
		if joined, ok := err.(interface{ Unwrap() []error }); ok {
			for _, e := range joined.Unwrap() {
				collect(e)
			}
			return
		}
		var one *Error
		if errors.As(err, &one) {
			all = append(all, one)
		}
	}
	collect(err)
	slices.SortStableFunc(all, func(a, b *Error) int { return a.Line - b.Line })
	return all
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
		return nil, syntaxError(name, text, err.Error())
	}
	return &File{Name: name, text: text, root: root}, nil
}

// Size returns the length of the file's text in bytes.
func (f *File) Size() int {
	return len(f.text)
}

func syntaxError(name string, text []byte, problem string) *Error {
	problem = strings.TrimPrefix(problem, "hujson: ")
	e := &Error{File: name, Line: 1}
	if place, what, found := strings.Cut(problem, ": "); found {
		var column int
		if n, _ := fmt.Sscanf(place, "line %d, column %d", &e.Line, &column); n > 0 {
			problem = what
		}
	}
	e.Text = "not JSON with comments: " + problem
	switch {
	case strings.Contains(problem, "parsing string"):
		// The parser names the end of the file, but the quote to close is the last one.
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

func lineAt(text []byte, offset int) int {
	return 1 + bytes.Count(text[:max(offset, 0)], []byte("\n"))
}

var pointerEscape = strings.NewReplacer("~", "~0", "/", "~1")

// Join returns the JSON pointer of the value under key below a pointer.
func Join(pointer, key string) string {
	return pointer + "/" + pointerEscape.Replace(key)
}

// find returns the value at a JSON pointer or its nearest parent that exists, and whether it is the value itself.
func (f *File) find(pointer string) (v *hujson.Value, exact bool) {
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

// Errorf returns an Error for the value at a JSON pointer, with the line of its nearest parent where it doesn't exist.
func (f *File) Errorf(pointer, format string, args ...any) *Error {
	v, exact := f.find(pointer)
	e := f.errorAt(pointer, v, fmt.Sprintf(format, args...))
	if !exact {
		e.Value = ""
	}
	return e
}

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

// valueText returns the text of a value that isn't an object, cut to a length that fits into a message.
func (f *File) valueText(v *hujson.Value) string {
	const longest = 60
	if _, ok := v.Value.(*hujson.Object); ok {
		return ""
	}
	s := string(bytes.TrimSpace(f.text[v.StartOffset:v.EndOffset]))
	if len(s) > longest {
		return s[:longest] + "..."
	}
	return s
}

func sortedNames(m map[string]string) []string {
	return slices.Sorted(maps.Keys(m))
}
