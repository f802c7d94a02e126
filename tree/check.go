package tree

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"unicode"

	"kingcupcross/conf"
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
	parts := p.Parts()
	if len(parts) > maxDepth || parts[0] != t.Organisation() {
		all = append(all, Problem{Path: p, Text: "a tree has one organisation, regions below it and services below those"})
	}
	for _, name := range parts {
		if text := checkName(name); text != "" {
			all = append(all, Problem{Path: p, Text: text})
		}
	}
	for _, f := range sortedKeys(t.levels[p]) {
		if text := checkValue(f, t.levels[p][f]); text != "" {
			all = append(all, Problem{Path: p, Key: f, Value: string(t.levels[p][f]), Text: text})
		}
	}
	return all
}

// checkName says what is wrong with the name of an organisation, a region or a service, or "".
func checkName(name string) string {
	switch {
	case name == "":
		return "the name must be given: use letters, digits and hyphens"
	case len(name) > longestName:
		return fmt.Sprintf("the name is too long: use at most %d bytes", longestName)
	case strings.ContainsFunc(name, func(r rune) bool { return r == '/' || unicode.IsSpace(r) || !unicode.IsPrint(r) }):
		return "the name holds a slash or a blank: use letters, digits and hyphens"
	}
	return ""
}

// longestName bounds the names of levels in bytes.
const longestName = 100

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
	if string(bytes.TrimSpace(value)) == "null" {
		return "null is no value: give one or leave the key out"
	}
	v := reflect.New(f.kind)
	if err := json.Unmarshal(value, v.Interface()); err != nil {
		return conf.Advice(f.kind, err)
	}
	if list, ok := v.Interface().(*[]string); ok {
		return checkList(*list)
	}
	return conf.CheckBounds(f.tag, v.Elem())
}

func checkList(list []string) string {
	seen := map[string]bool{}
	for _, name := range list {
		if text := checkName(name); text != "" {
			return text
		}
		if seen[name] {
			return fmt.Sprintf("%q stands here twice: remove one", name)
		}
		seen[name] = true
	}
	return ""
}

// checkTogether finds contradictions between the settings in force at one level, wherever each of them comes from.
func (t *Tree) checkTogether(p Path) []Problem {
	var all []Problem
	v := t.at(p)
	if v.Deadline > v.Longest {
		all = append(all, t.contradiction(p, []string{"deadline", "longest"}, "deadline (%s) is above longest (%s): lower deadline or raise longest", v.Deadline, v.Longest))
	}
	if v.Prefer == PreferLatency && v.Tail > v.Deadline {
		all = append(all, t.contradiction(p, []string{"tail", "deadline", "prefer"}, "tail (%s) is above deadline (%s), so that no answer would come at tail: lower tail or raise deadline", v.Tail, v.Deadline))
	}
	if _, set := t.levels[p]["out"]; set && len(p.Levels()) == maxDepth {
		all = append(all, Problem{
			Path:  p,
			Key:   "out",
			Value: string(t.levels[p]["out"]),
			Text:  "a data centre is out for all services: set out at the region or the organisation",
		})
	}
	return slices.DeleteFunc(all, func(q Problem) bool { return q.Path != p })
}

// contradiction returns a problem of several settings in force at p, placed at the lowest of the levels that they come from.
func (t *Tree) contradiction(p Path, keys []string, format string, values ...any) Problem {
	var at Path
	var named string
	origins := make([]string, 0, len(keys))
	for _, k := range keys {
		from := t.originOf(p, k)
		if len(from) > len(at) {
			at, named = from, k
		}
		if from == "" {
			from = "the default"
		}
		origins = append(origins, fmt.Sprintf("%s comes from %s", k, from))
	}
	return Problem{
		Path:  at,
		Key:   named,
		Value: string(t.levels[at][named]),
		Text:  fmt.Sprintf(format, values...) + " (" + strings.Join(origins, ", ") + ")",
	}
}

// originOf returns the level that the value in force at p comes from, or "" for the default.
func (t *Tree) originOf(p Path, key string) Path {
	from := Path("")
	for _, l := range p.Levels() {
		if _, set := t.levels[l][key]; set {
			from = l
		}
	}
	return from
}
