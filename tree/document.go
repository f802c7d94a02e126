package tree

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"kingcupcross/conf"
	"kingcupcross/units"
)

// MaxSize is the largest size of a tree in the form in which the platform's store holds it: 1 MiB, less room for what a change adds.
const MaxSize = units.MiB - 64*units.KiB

// document is the form of a tree as operators write it.
type document struct {
	Organisation string            `json:"organisation"`
	Settings     Level             `json:"settings,omitempty"`
	Regions      map[string]region `json:"regions,omitempty"`
}

type region struct {
	Settings Level              `json:"settings,omitempty"`
	Services map[string]service `json:"services,omitempty"`
}

type service struct {
	Settings Level `json:"settings,omitempty"`
}

// Document is a tree as read from a file, with the place of each level.
type Document struct {
	// Tree is what the file says, numbered zero.
	Tree  *Tree
	file  *conf.File
	place map[Path]string
}

// ReadDocument reads and checks a tree's file; the error joins a conf.Error for each finding, in the order of lines.
func ReadDocument(f *conf.File) (*Document, error) {
	var d document
	if err := f.Decode(&d); err != nil {
		return nil, err
	}
	doc := &Document{Tree: Empty(), file: f, place: map[Path]string{}}
	findings := doc.addAll(d)
	if len(findings) == 0 {
		findings = doc.check()
	}
	all := conf.Findings(errors.Join(findings...))
	if len(all) == 0 {
		return doc, nil
	}
	joined := make([]error, 0, len(all))
	for _, e := range all {
		joined = append(joined, e)
	}
	return nil, errors.Join(joined...)
}

func (d *Document) addAll(doc document) []error {
	var all []error
	if text := checkName(doc.Organisation); text != "" {
		all = append(all, d.file.Errorf("/organisation", "%s", text))
	}
	d.add(Join(doc.Organisation), "/settings", doc.Settings)
	for name, r := range doc.Regions {
		at := conf.Join("/regions", name)
		if text := checkName(name); text != "" {
			all = append(all, d.file.Errorf(at, "%s", text))
		}
		d.add(Join(doc.Organisation, name), at+"/settings", r.Settings)
		for s, v := range r.Services {
			below := conf.Join(at+"/services", s)
			if text := checkName(s); text != "" {
				all = append(all, d.file.Errorf(below, "%s", text))
			}
			d.add(Join(doc.Organisation, name, s), below+"/settings", v.Settings)
		}
	}
	return all
}

func (d *Document) add(p Path, pointer string, l Level) {
	d.place[p] = pointer
	if len(l) > 0 {
		d.Tree.levels[p] = l
	}
}

// Levels returns the paths of all levels in the file, also of those where nothing is set.
func (d *Document) Levels() []Path {
	return slices.Sorted(maps.Keys(d.place))
}

func (d *Document) check() []error {
	var all []error
	for _, p := range d.Tree.Check() {
		all = append(all, d.file.Errorf(conf.Join(d.place[p.Path], p.Key), "%s", p.Text))
	}
	return append(all, d.checkSize()...)
}

// checkSize finds a tree that no change could carry into the store.
func (d *Document) checkSize() []error {
	whole, err := d.Tree.Encode()
	if err != nil {
		return []error{d.file.Errorf("", "%v", err)}
	}
	if size := units.Size(len(whole)); size > MaxSize {
		return []error{d.file.Errorf("", "too large for the store: the settings have %s, use at most %s; set at a higher level what lower ones share", size, MaxSize)}
	}
	return nil
}

// Format returns the tree in the form that ReadDocument reads, without comments of its own.
func (t *Tree) Format() []byte {
	d := document{Organisation: t.Organisation(), Regions: map[string]region{}}
	for p, l := range t.levels {
		parts := p.Parts()
		if len(parts) == 1 {
			d.Settings = l
			continue
		}
		r := d.Regions[parts[1]]
		if len(parts) == 2 {
			r.Settings = l
		} else {
			if r.Services == nil {
				r.Services = map[string]service{}
			}
			r.Services[parts[2]] = service{Settings: l}
		}
		d.Regions[parts[1]] = r
	}
	text, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		// The values were valid JSON when the change was applied, so only a fault of the checks leads here.
		panic(fmt.Sprintf("format settings: %v", err))
	}
	return fmt.Appendf(nil, "// The settings after change %d.\n%s\n", t.N, text)
}

// Diff returns the operations that turn t into next, in order.
func (t *Tree) Diff(next *Tree) []Op {
	paths := maps.Clone(t.levels)
	maps.Copy(paths, next.levels)
	var ops []Op
	for _, p := range slices.Sorted(maps.Keys(paths)) {
		keys := maps.Clone(t.levels[p])
		if keys == nil {
			keys = Level{}
		}
		maps.Copy(keys, next.levels[p])
		for _, k := range slices.Sorted(maps.Keys(keys)) {
			before, after := t.levels[p][k], next.levels[p][k]
			if !same(before, after) {
				ops = append(ops, Op{Path: p, Key: k, Before: before, After: after})
			}
		}
	}
	return ops
}

func same(a, b json.RawMessage) bool {
	var x, y bytes.Buffer
	if (a == nil) != (b == nil) {
		return false
	}
	if a == nil {
		return true
	}
	return json.Compact(&x, a) == nil && json.Compact(&y, b) == nil && bytes.Equal(x.Bytes(), y.Bytes())
}
