package tree

import (
	"encoding/json"
	"reflect"
	"strings"

	"kingcupcross/conf"
)

// field describes one setting, read from the struct tags of Values.
type field struct {
	key   string
	index int
	// defaultValue is the default as JSON.
	defaultValue json.RawMessage
	tag          reflect.StructTag
	valueType    reflect.Type
}

// fields describes all settings, in the order of Values.
var fields = readFields()

// readFields reads the description of each setting from the struct tags of Values.
func readFields() []field {
	t := reflect.TypeFor[Values]()
	var described []field
	for i := range t.NumField() {
		f := t.Field(i)
		described = append(described, field{
			key:          f.Tag.Get("json"),
			index:        i,
			defaultValue: conf.DefaultJSON(f),
			tag:          f.Tag,
			valueType:    f.Type,
		})
	}
	return described
}

// lookupField returns the description of the setting with that key.
func lookupField(key string) (field, bool) {
	for _, f := range fields {
		if f.key == key {
			return f, true
		}
	}
	return field{}, false
}

// knownKeys returns the keys of all settings, separated by commas, for error messages.
func knownKeys() string {
	keys := make([]string, 0, len(fields))
	for _, f := range fields {
		keys = append(keys, f.key)
	}
	return strings.Join(keys, ", ")
}

// decodeValues decodes a level in which every key is set.
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

// Fields returns a description of each setting of the tree, in the order of Values.
func Fields() []conf.Field {
	return conf.Describe(reflect.TypeFor[Values]())
}
