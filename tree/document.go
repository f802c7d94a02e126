package tree

import (
	"bytes"
	"encoding/json"
	"errors"
	"maps"
	"slices"

	"kingcupcross/conf"
)

// document is the form of a tree as operators write it.
type document struct {
	Organisation string            `json:"organisation"`
	Settings     Level             `json:"settings"`
	Regions      map[string]region `json:"regions"`
}

type region struct {
	Settings Level              `json:"settings"`
	Services map[string]service `json:"services"`
}

type service struct {
	Settings Level `json:"settings"`
}

// Document is a tree as read from a file, with the place of each level.
type Document struct {
	// Tree is what the file says, numbered zero.
	Tree  *Tree
	file  *conf.File
	place map[Path]string
}

// ReadDocument reads and checks a tree's file; the error joins a conf.Error for each finding.
func ReadDocument(f *conf.File) (*Document, error) {
	var d document
	if err := decodeStrict(f, &d); err != nil {
		return nil, err
	}
	if d.Organisation == "" {
		return nil, f.Errorf("/organisation", "organisation must be given")
	}
	doc := &Document{Tree: Empty(), file: f, place: map[Path]string{}}
	root := Join(d.Organisation)
	doc.add(root, "/settings", d.Settings)
	for name, r := range d.Regions {
		doc.add(Join(d.Organisation, name), "/regions/"+name+"/settings", r.Settings)
		for s, v := range r.Services {
			doc.add(Join(d.Organisation, name, s), "/regions/"+name+"/services/"+s+"/settings", v.Settings)
		}
	}
	return doc, doc.check()
}

func decodeStrict(f *conf.File, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(f.JSON()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return f.Errorf("", "%v: a tree has organisation, settings and regions; a region settings and services; a service settings", err)
	}
	return nil
}

func (d *Document) add(p Path, pointer string, l Level) {
	d.place[p] = pointer
	if len(l) > 0 {
		d.Tree.levels[p] = l
	}
}

func (d *Document) check() error {
	var all []error
	for _, p := range d.Tree.Check() {
		all = append(all, d.file.Errorf(d.place[p.Path]+"/"+p.Key, "%s", p.Text))
	}
	return errors.Join(all...)
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
