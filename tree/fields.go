package tree

import (
	"encoding/json"
	"reflect"
	"strings"

	"kingcupcross/conf"
)

// field describes one setting, as read from the tags of Values.
type field struct {
	key      string
	index    int
	fallback json.RawMessage
	tag      reflect.StructTag
	kind     reflect.Type
}

var fields = readFields()

func readFields() []field {
	t := reflect.TypeFor[Values]()
	var all []field
	for i := range t.NumField() {
		f := t.Field(i)
		all = append(all, field{
			key:      f.Tag.Get("json"),
			index:    i,
			fallback: conf.Fallback(f),
			tag:      f.Tag,
			kind:     f.Type,
		})
	}
	return all
}

func fieldOf(key string) (field, bool) {
	for _, f := range fields {
		if f.key == key {
			return f, true
		}
	}
	return field{}, false
}

func keys() string {
	all := make([]string, 0, len(fields))
	for _, f := range fields {
		all = append(all, f.key)
	}
	return strings.Join(all, ", ")
}

func decodeValues(l Level) (*Values, error) {
	b, err := json.Marshal(l)
	if err != nil {
		return nil, err
	}
	var v Values
	if err := json.Unmarshal(b, &v); err != nil {
		return nil, err
	}
	return &v, nil
}

// Fields describes the settings of the tree, in the order of Values.
func Fields() []conf.Field {
	return conf.Describe(reflect.TypeFor[Values]())
}
