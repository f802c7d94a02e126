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

// Problem is one error that the checks found in a tree.
type Problem struct {
	Path Path
	Key  string
	// Value is the setting's JSON text as written.
	Value string
	// Text says what is wrong and how to fix it.
	Text string
}

// Error returns the problem as "path: key = value: text".
func (p Problem) Error() string {
	return fmt.Sprintf("%s: %s = %s: %s", p.Path, p.Key, p.Value, p.Text)
}

// Check returns all problems of the tree; combinations of settings are only checked if each setting by itself is valid.
func (t *Tree) Check() []Problem {
	var problems []Problem
	for _, p := range t.Paths() {
		problems = append(problems, t.checkLevel(p)...)
	}
	if len(problems) > 0 {
		return problems
	}
	for _, p := range t.Paths() {
		problems = append(problems, t.checkCombination(p)...)
	}
	return problems
}

// checkLevel checks the path of a level and each setting made at it.
func (t *Tree) checkLevel(p Path) []Problem {
	var problems []Problem
	parts := p.Parts()
	if len(parts) > maxDepth || parts[0] != t.Organisation() {
		problems = append(problems, Problem{Path: p, Text: "a tree has one organisation, regions below it and services below those"})
	}
	for _, name := range parts {
		if text := checkName(name); text != "" {
			problems = append(problems, Problem{Path: p, Text: text})
		}
	}
	for _, key := range sortedKeys(t.levels[p]) {
		if text := checkValue(key, t.levels[p][key]); text != "" {
			problems = append(problems, Problem{Path: p, Key: key, Value: string(t.levels[p][key]), Text: text})
		}
	}
	return problems
}

// checkName returns what is wrong with the name of an organisation, a region, a service or a data centre, or "" if it is valid.
func checkName(name string) string {
	switch {
	case name == "":
		return "the name must be given: use letters, digits and hyphens"
	case len(name) > maxNameBytes:
		return fmt.Sprintf("the name is too long: use at most %d bytes", maxNameBytes)
	case strings.ContainsFunc(name, func(r rune) bool { return r == '/' || unicode.IsSpace(r) || !unicode.IsPrint(r) }):
		return "the name holds a slash or a blank: use letters, digits and hyphens"
	}
	return ""
}

// maxNameBytes is the maximum length of a name.
const maxNameBytes = 100

// sortedKeys returns the keys set at a level: known ones in the order of Values, then unknown ones.
func sortedKeys(l Level) []string {
	var keys []string
	for _, f := range fields {
		if _, ok := l[f.key]; ok {
			keys = append(keys, f.key)
		}
	}
	for k := range l {
		if _, ok := lookupField(k); !ok {
			keys = append(keys, k)
		}
	}
	return keys
}

// checkValue returns what is wrong with the value of one setting, or "" if it is valid.
func checkValue(key string, value json.RawMessage) string {
	f, ok := lookupField(key)
	if !ok {
		return "unknown key: use one of " + knownKeys()
	}
	if string(bytes.TrimSpace(value)) == "null" {
		return "null is no value: give one or leave the key out"
	}
	v := reflect.New(f.valueType)
	if err := json.Unmarshal(value, v.Interface()); err != nil {
		return conf.DescribeDecodeError(f.valueType, err)
	}
	if list, ok := v.Interface().(*[]string); ok {
		return checkNames(*list)
	}
	return conf.CheckBounds(f.tag, v.Elem())
}

// checkNames returns what is wrong with a list of names, which must be valid and distinct, or "".
func checkNames(names []string) string {
	seen := map[string]bool{}
	for _, name := range names {
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

// checkCombination finds conflicts between the settings in force at level p, whether set there or inherited; it only returns those whose lowest setting was made at p.
func (t *Tree) checkCombination(p Path) []Problem {
	var problems []Problem
	v := t.valuesAt(p)
	if v.Deadline > v.Longest {
		problems = append(problems, t.conflict(p, []string{"deadline", "longest"}, "deadline (%s) is above longest (%s): lower deadline or raise longest", v.Deadline, v.Longest))
	}
	if v.Prefer == PreferLatency && v.Tail > v.Deadline {
		problems = append(problems, t.conflict(p, []string{"tail", "deadline", "prefer"}, "tail (%s) is above deadline (%s), so that no answer would come at tail: lower tail or raise deadline", v.Tail, v.Deadline))
	}
	if _, set := t.levels[p]["out"]; set && len(p.Levels()) == maxDepth {
		problems = append(problems, Problem{
			Path:  p,
			Key:   "out",
			Value: string(t.levels[p]["out"]),
			Text:  "a data centre is out for all services: set out at the region or the organisation",
		})
	}
	return slices.DeleteFunc(problems, func(q Problem) bool { return q.Path != p })
}

// conflict returns a Problem for settings in force at p that conflict with each other, reported at the lowest level that one of them comes from.
func (t *Tree) conflict(p Path, keys []string, format string, values ...any) Problem {
	var lowest Path
	var lowestKey string
	origins := make([]string, 0, len(keys))
	for _, k := range keys {
		from := t.originOf(p, k)
		if len(from) > len(lowest) {
			lowest, lowestKey = from, k
		}
		if from == "" {
			from = "the default"
		}
		origins = append(origins, fmt.Sprintf("%s comes from %s", k, from))
	}
	return Problem{
		Path:  lowest,
		Key:   lowestKey,
		Value: string(t.levels[lowest][lowestKey]),
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
