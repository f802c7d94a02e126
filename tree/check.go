package tree

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// Problem is one finding of the checks.
type Problem struct {
	Path Path
	Key  string
	// Value is the value as written.
	Value string
	// Text says what is wrong and how to mend it.
	Text string
}

// Error returns the finding with its place.
func (p Problem) Error() string {
	return fmt.Sprintf("%s: %s = %s: %s", p.Path, p.Key, p.Value, p.Text)
}

// Check returns what is wrong with the tree as a whole.
func (t *Tree) Check() []Problem {
	var all []Problem
	for _, p := range t.Paths() {
		all = append(all, t.checkLevel(p)...)
	}
	if len(all) > 0 {
		return all
	}
	for _, p := range t.Paths() {
		all = append(all, t.checkTogether(p)...)
	}
	return all
}

func (t *Tree) checkLevel(p Path) []Problem {
	var all []Problem
	parts := strings.Split(string(p), "/")
	if len(parts) > maxDepth || parts[0] != t.Organisation() {
		all = append(all, Problem{Path: p, Text: "a tree has one organisation, regions below it and services below those"})
	}
	for _, f := range sortedKeys(t.levels[p]) {
		if text := checkValue(f, t.levels[p][f]); text != "" {
			all = append(all, Problem{Path: p, Key: f, Value: string(t.levels[p][f]), Text: text})
		}
	}
	return all
}

func sortedKeys(l Level) []string {
	var all []string
	for _, f := range fields {
		if _, ok := l[f.key]; ok {
			all = append(all, f.key)
		}
	}
	for k := range l {
		if _, ok := fieldOf(k); !ok {
			all = append(all, k)
		}
	}
	return all
}

func checkValue(key string, value json.RawMessage) string {
	f, ok := fieldOf(key)
	if !ok {
		return "unknown key: use one of " + keys()
	}
	v := reflect.New(f.kind)
	if err := json.Unmarshal(value, v.Interface()); err != nil {
		return err.Error()
	}
	return f.checkBounds(v.Elem())
}

func (f field) checkBounds(v reflect.Value) string {
	if choices := f.tag.Get("oneof"); choices != "" {
		for _, c := range strings.Fields(choices) {
			if v.String() == c {
				return ""
			}
		}
		return "use one of " + strings.ReplaceAll(choices, " ", ", ")
	}
	low, high := f.tag.Get("min"), f.tag.Get("max")
	if low == "" {
		return ""
	}
	if number(v) < f.bound(low) || number(v) > f.bound(high) {
		return fmt.Sprintf("out of bounds: use %s to %s", low, high)
	}
	return ""
}

func (f field) bound(text string) float64 {
	if n, err := strconv.ParseFloat(text, 64); err == nil {
		return n
	}
	v := reflect.New(f.kind)
	if err := json.Unmarshal([]byte(strconv.Quote(text)), v.Interface()); err != nil {
		panic(fmt.Sprintf("bound of %s: %v", f.key, err))
	}
	return number(v.Elem())
}

func number(v reflect.Value) float64 {
	if v.CanInt() {
		return float64(v.Int())
	}
	return v.Float()
}

// checkTogether finds contradictions between the settings in force at one level.
func (t *Tree) checkTogether(p Path) []Problem {
	v := t.at(p)
	if v.Deadline > v.Longest {
		return []Problem{{
			Path:  p,
			Key:   "deadline",
			Value: v.Deadline.String(),
			Text:  fmt.Sprintf("above longest (%s) in force at this level: lower deadline or raise longest", v.Longest),
		}}
	}
	return nil
}
