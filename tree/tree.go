package tree

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// Path identifies a level: "organisation", "organisation/region" or "organisation/region/service".
type Path string

// maxDepth is the number of levels.
const maxDepth = 3

// Join builds the path of a level from the names of its organisation, region and service.
func Join(parts ...string) Path {
	return Path(strings.Join(parts, "/"))
}

// Parts returns the names in the path, the organisation first.
func (p Path) Parts() []string {
	return strings.Split(string(p), "/")
}

// Levels returns the paths from the organisation down to p.
func (p Path) Levels() []Path {
	parts := p.Parts()
	levels := make([]Path, 0, len(parts))
	for i := range parts {
		levels = append(levels, Join(parts[:i+1]...))
	}
	return levels
}

// Level holds the settings made at one level, as JSON values by key.
type Level map[string]json.RawMessage

// Tree is one immutable version of the settings tree.
type Tree struct {
	// ChangeNumber is the sequence number of the last change applied to the tree.
	ChangeNumber uint64
	// LastChangeID is the ID of that change.
	LastChangeID string
	levels       map[Path]Level
	// merged caches the settings in force, *Values by Path.
	merged sync.Map
	// organisation caches the result of Organisation; nil until it is first computed.
	organisation atomic.Pointer[string]
}

// Empty returns the tree before the first change: every setting has its default value.
func Empty() *Tree {
	return &Tree{levels: map[Path]Level{}}
}

// Organisation returns the name of the top level, or "" for the empty tree. If there are several, which the checks refuse, it returns the first by name.
func (t *Tree) Organisation() string {
	if cached := t.organisation.Load(); cached != nil {
		return *cached
	}
	first := ""
	for p := range t.levels {
		name, _, _ := strings.Cut(string(p), "/")
		if first == "" || name < first {
			first = name
		}
	}
	t.organisation.Store(&first)
	return first
}

// Paths returns the sorted paths of the levels at which something is set.
func (t *Tree) Paths() []Path {
	return slices.Sorted(maps.Keys(t.levels))
}

// LevelSettings returns a copy of the settings made at level p itself, without inherited ones.
func (t *Tree) LevelSettings(p Path) Level {
	return maps.Clone(t.levels[p])
}

// Origin is the value of a setting in force and the level that it comes from.
type Origin struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
	// Level is the level that set the value, or "" for the default.
	Level Path `json:"level"`
}

// Origins returns the value of each setting in force at p and the level that it comes from, in the order of Values.
func (t *Tree) Origins(p Path) []Origin {
	var origins []Origin
	for _, f := range fields {
		o := Origin{Key: f.key, Value: f.defaultValue}
		for _, l := range p.Levels() {
			if v, ok := t.levels[l][f.key]; ok {
				o.Value, o.Level = v, l
			}
		}
		origins = append(origins, o)
	}
	return origins
}

// ForService returns the settings in force for a service in a region; the result is shared and must not be modified.
func (t *Tree) ForService(region, service string) *Values {
	return t.valuesAt(Join(t.Organisation(), region, service))
}

// ForRegion returns the settings in force at a region; the result is shared and must not be modified.
func (t *Tree) ForRegion(region string) *Values {
	return t.valuesAt(Join(t.Organisation(), region))
}

// valuesAt merges the defaults with the settings of each level from the organisation down to p, and caches the result.
func (t *Tree) valuesAt(p Path) *Values {
	if v, ok := t.merged.Load(p); ok {
		return v.(*Values)
	}
	level := Level{}
	for _, f := range fields {
		level[f.key] = f.defaultValue
	}
	for _, l := range p.Levels() {
		maps.Copy(level, t.levels[l])
	}
	v, err := decodeValues(level)
	if err != nil {
		// Changes are checked before they are applied, so this is a bug in the checks.
		panic(fmt.Sprintf("settings at %s: %v", p, err))
	}
	cached, _ := t.merged.LoadOrStore(p, v)
	return cached.(*Values)
}

// DatacentreOut reports whether a data centre is out of service according to the settings in force at its region.
func (t *Tree) DatacentreOut(region, datacentre string) bool {
	return slices.Contains(t.ForRegion(region).Out, datacentre)
}

// clone returns a copy that shares its levels with t, which is safe because levels are replaced and never modified.
func (t *Tree) clone() *Tree {
	c := &Tree{ChangeNumber: t.ChangeNumber, LastChangeID: t.LastChangeID, levels: maps.Clone(t.levels)}
	c.organisation.Store(t.organisation.Load())
	return c
}
