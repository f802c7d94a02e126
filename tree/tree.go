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

// Path names a level: "organisation", "organisation/region" or "organisation/region/service".
type Path string

// maxDepth is the number of levels.
const maxDepth = 3

// Join returns the path of a level from its parts.
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

// Level holds the settings made at one level, by key, as JSON values.
type Level map[string]json.RawMessage

// Tree is one immutable version of the settings tree.
type Tree struct {
	// N is the number of the last change in it.
	N uint64
	// Last is the id of the last change in it.
	Last   string
	levels map[Path]Level
	cache  sync.Map
	// root is the organisation, worked out when it is first asked for.
	root atomic.Pointer[string]
}

// Empty returns the tree before the first change, in which every setting has its default.
func Empty() *Tree {
	return &Tree{levels: map[Path]Level{}}
}

// Organisation returns the root's name, or "" for the empty tree; of several, which no check lets pass, the first by name.
func (t *Tree) Organisation() string {
	if root := t.root.Load(); root != nil {
		return *root
	}
	root := ""
	for p := range t.levels {
		name, _, _ := strings.Cut(string(p), "/")
		if root == "" || name < root {
			root = name
		}
	}
	t.root.Store(&root)
	return root
}

// Paths returns the levels at which something is set, in order.
func (t *Tree) Paths() []Path {
	return slices.Sorted(maps.Keys(t.levels))
}

// At returns the settings made at level p itself.
func (t *Tree) At(p Path) Level {
	return maps.Clone(t.levels[p])
}

// Origin is one setting in force with the level that it comes from.
type Origin struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
	// Level is the level that set the value, or "" for the default.
	Level Path `json:"level"`
}

// Why returns each setting in force at p with the level that it comes from.
func (t *Tree) Why(p Path) []Origin {
	var all []Origin
	for _, f := range fields {
		o := Origin{Key: f.key, Value: f.fallback}
		for _, l := range p.Levels() {
			if v, ok := t.levels[l][f.key]; ok {
				o.Value, o.Level = v, l
			}
		}
		all = append(all, o)
	}
	return all
}

// For returns the settings in force for a service of a region; the result must not be changed.
func (t *Tree) For(region, service string) *Values {
	return t.at(Join(t.Organisation(), region, service))
}

// ForRegion returns the settings in force at a region.
func (t *Tree) ForRegion(region string) *Values {
	return t.at(Join(t.Organisation(), region))
}

func (t *Tree) at(p Path) *Values {
	if v, ok := t.cache.Load(p); ok {
		return v.(*Values)
	}
	merged := Level{}
	for _, f := range fields {
		merged[f.key] = f.fallback
	}
	for _, l := range p.Levels() {
		maps.Copy(merged, t.levels[l])
	}
	v, err := decodeValues(merged)
	if err != nil {
		// Changes are checked before they are applied, so only a fault of the checks leads here.
		panic(fmt.Sprintf("settings at %s: %v", p, err))
	}
	kept, _ := t.cache.LoadOrStore(p, v)
	return kept.(*Values)
}

// Out reports whether a data centre has been taken out at any level above or at the region.
func (t *Tree) Out(region, datacentre string) bool {
	return slices.Contains(t.ForRegion(region).Out, datacentre)
}

// clone returns a tree that shares its levels with t: they are replaced and never changed.
func (t *Tree) clone() *Tree {
	c := &Tree{N: t.N, Last: t.Last, levels: maps.Clone(t.levels)}
	c.root.Store(t.root.Load())
	return c
}
