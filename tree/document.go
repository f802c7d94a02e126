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

// MaxEncodedSize is the maximum size of an encoded tree: the 1 MiB that the platform's store accepts, less room for what a change adds.
const MaxEncodedSize = units.MiB - 64*units.KiB

// document is the layout of the settings file that operators write.
type document struct {
	Organisation string            `json:"organisation"`
	Settings     Level             `json:"settings,omitempty"`
	Regions      map[string]region `json:"regions,omitempty"`
}

// region is a region's part of a document.
type region struct {
	Settings Level              `json:"settings,omitempty"`
	Services map[string]service `json:"services,omitempty"`
}

// service is a service's part of a document.
type service struct {
	Settings Level `json:"settings,omitempty"`
}

// Document is a tree read from a settings file, with the position of each level in that file.
type Document struct {
	// Tree holds the settings of the file, with zero as its change number.
	Tree *Tree
	file *conf.File
	// pointers holds the JSON pointer of each level's settings.
	pointers map[Path]string
}

// ReadDocument decodes and checks a settings file; the error joins a conf.Error for each finding, in the order of lines.
func ReadDocument(f *conf.File) (*Document, error) {
	var d document
	if err := f.Decode(&d); err != nil {
		return nil, err
	}
	doc := &Document{Tree: Empty(), file: f, pointers: map[Path]string{}}
	findings := doc.addAll(d)
	if len(findings) == 0 {
		findings = doc.check()
	}
	sorted := conf.Findings(errors.Join(findings...))
	if len(sorted) == 0 {
		return doc, nil
	}
	errs := make([]error, 0, len(sorted))
	for _, e := range sorted {
		errs = append(errs, e)
	}
	return nil, errors.Join(errs...)
}

// addAll adds the levels of a decoded file to the tree and returns an error for each invalid name.
func (d *Document) addAll(doc document) []error {
	var errs []error
	if text := checkName(doc.Organisation); text != "" {
		errs = append(errs, d.file.Errorf("/organisation", "%s", text))
	}
	d.add(Join(doc.Organisation), "/settings", doc.Settings)
	for name, r := range doc.Regions {
		regionPointer := conf.Join("/regions", name)
		if text := checkName(name); text != "" {
			errs = append(errs, d.file.Errorf(regionPointer, "%s", text))
		}
		d.add(Join(doc.Organisation, name), regionPointer+"/settings", r.Settings)
		for s, v := range r.Services {
			servicePointer := conf.Join(regionPointer+"/services", s)
			if text := checkName(s); text != "" {
				errs = append(errs, d.file.Errorf(servicePointer, "%s", text))
			}
			d.add(Join(doc.Organisation, name, s), servicePointer+"/settings", v.Settings)
		}
	}
	return errs
}

// add adds one level, whose settings stand at a JSON pointer of the file.
func (d *Document) add(p Path, pointer string, l Level) {
	d.pointers[p] = pointer
	if len(l) > 0 {
		d.Tree.levels[p] = l
	}
}

// Levels returns the sorted paths of all levels in the file, including those without settings.
func (d *Document) Levels() []Path {
	return slices.Sorted(maps.Keys(d.pointers))
}

// check returns the problems of the tree as errors that name their lines in the file.
func (d *Document) check() []error {
	var errs []error
	for _, p := range d.Tree.Check() {
		errs = append(errs, d.file.Errorf(conf.Join(d.pointers[p.Path], p.Key), "%s", p.Text))
	}
	return append(errs, d.checkSize()...)
}

// checkSize returns an error if the encoded tree is too large for the platform's store.
func (d *Document) checkSize() []error {
	encoded, err := d.Tree.Encode()
	if err != nil {
		return []error{d.file.Errorf("", "%v", err)}
	}
	if size := units.Size(len(encoded)); size > MaxEncodedSize {
		return []error{d.file.Errorf("", "too large for the store: the settings have %s, use at most %s; set at a higher level what lower ones share", size, MaxEncodedSize)}
	}
	return nil
}

// Format returns the tree as a settings file that ReadDocument reads; comments of the file it came from are lost.
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
		// Apply checked that the values are valid JSON, so this is a bug in the checks.
		panic(fmt.Sprintf("format settings: %v", err))
	}
	return fmt.Appendf(nil, "// The settings after change %d.\n%s\n", t.ChangeNumber, text)
}

// Diff returns the operations that turn t into next, sorted by path and key.
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
			if !equalJSON(before, after) {
				ops = append(ops, Op{Path: p, Key: k, Before: before, After: after})
			}
		}
	}
	return ops
}

// equalJSON compares two JSON values without regard to whitespace; nil only equals nil.
func equalJSON(a, b json.RawMessage) bool {
	var compactA, compactB bytes.Buffer
	if (a == nil) != (b == nil) {
		return false
	}
	if a == nil {
		return true
	}
	return json.Compact(&compactA, a) == nil && json.Compact(&compactB, b) == nil && bytes.Equal(compactA.Bytes(), compactB.Bytes())
}
