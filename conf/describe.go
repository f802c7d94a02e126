package conf

import (
	"net/netip"
	"reflect"
	"strings"

	"kingcupcross/units"
)

// Field describes one setting for the generated reference page.
type Field struct {
	Key string
	// Kind describes the type of the value in a few words.
	Kind    string
	Default string
	// Bounds are the minimum and the maximum, or the allowed values.
	Bounds string
	Doc    string
}

// HostFields returns a description of each setting in a host's own settings file.
func HostFields() []Field {
	return Describe(reflect.TypeFor[Host]())
}

// FrontFields returns a description of each setting of a host on the users' platform.
func FrontFields() []Field {
	return Describe(reflect.TypeFor[Front]())
}

// Describe returns a description of each field of a settings struct, read from its struct tags.
func Describe(t reflect.Type) []Field {
	var fields []Field
	for i := range t.NumField() {
		f := t.Field(i)
		fields = append(fields, Field{
			Key:     keyOf(f),
			Kind:    describeType(f.Type),
			Default: f.Tag.Get("default"),
			Bounds:  describeBounds(f.Tag),
			Doc:     f.Tag.Get("doc"),
		})
	}
	return fields
}

func describeBounds(tag reflect.StructTag) string {
	if choices := tag.Get("oneof"); choices != "" {
		return strings.ReplaceAll(choices, " ", ", ")
	}
	if low := tag.Get("min"); low != "" {
		return low + " to " + tag.Get("max")
	}
	return ""
}

func describeType(t reflect.Type) string {
	switch t {
	case reflect.TypeFor[units.Duration]():
		return "duration"
	case reflect.TypeFor[units.Size]():
		return "size"
	case reflect.TypeFor[netip.AddrPort]():
		return "address and port"
	}
	switch t.Kind() {
	case reflect.Slice:
		return "list of " + describeType(t.Elem())
	case reflect.Map:
		return "object of " + describeType(t.Elem())
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "number"
	default:
		return "whole number"
	}
}
