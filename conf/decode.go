package conf

import (
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"

	"kingcupcross/units"
)

// Decode fills the struct that into points to; the error joins an Error for each unknown or doubled key and each wrong value.
func (f *File) Decode(into any) error {
	d := &decoder{file: f}
	d.value("", &f.root, reflect.ValueOf(into).Elem())
	return errors.Join(d.findings...)
}

// decoder goes down a file's values together with the Go value that they belong to.
type decoder struct {
	file     *File
	findings []error
}

func (d *decoder) fail(pointer string, v *hujson.Value, format string, args ...any) {
	d.findings = append(d.findings, d.file.errorAt(pointer, v, fmt.Sprintf(format, args...)))
}

func (d *decoder) value(pointer string, v *hujson.Value, into reflect.Value) {
	_, own := into.Addr().Interface().(json.Unmarshaler)
	_, ownText := into.Addr().Interface().(encoding.TextUnmarshaler)
	switch {
	case string(literalOf(v)) == "null":
		d.fail(pointer, v, "null is no value: give one or leave the key out")
	case own && into.Type() != rawType, ownText:
		d.leaf(pointer, v, into)
	case into.Kind() == reflect.Struct:
		d.object(pointer, v, into)
	case into.Kind() == reflect.Map:
		d.table(pointer, v, into)
	case into.Kind() == reflect.Slice && into.Type() != rawType:
		d.list(pointer, v, into)
	default:
		d.leaf(pointer, v, into)
	}
}

var rawType = reflect.TypeFor[json.RawMessage]()

func literalOf(v *hujson.Value) []byte {
	if l, ok := v.Value.(hujson.Literal); ok {
		return l
	}
	return nil
}

// members returns the members of an object in their order and finds keys that stand there twice.
func (d *decoder) members(pointer string, v *hujson.Value) (names []string, values []*hujson.Value) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fail(pointer, v, "wrong type: use an object, in braces")
		return nil, nil
	}
	seen := map[string]bool{}
	for i := range o.Members {
		name := o.Members[i].Name.Value.(hujson.Literal).String()
		value := &o.Members[i].Value
		if seen[name] {
			d.fail(Join(pointer, name), value, "the key stands here twice: remove one")
			continue
		}
		seen[name] = true
		names = append(names, name)
		values = append(values, value)
	}
	return names, values
}

func (d *decoder) object(pointer string, v *hujson.Value, into reflect.Value) {
	names, values := d.members(pointer, v)
	for i, name := range names {
		at := Join(pointer, name)
		field, known := fieldFor(into, name)
		if !known {
			d.fail(at, values[i], "unknown key: use one of %s", strings.Join(keysOf(into.Type()), ", "))
			continue
		}
		d.value(at, values[i], field)
	}
}

func (d *decoder) table(pointer string, v *hujson.Value, into reflect.Value) {
	names, values := d.members(pointer, v)
	into.Set(reflect.MakeMap(into.Type()))
	for i, name := range names {
		one := reflect.New(into.Type().Elem()).Elem()
		d.value(Join(pointer, name), values[i], one)
		into.SetMapIndex(reflect.ValueOf(name), one)
	}
}

func (d *decoder) list(pointer string, v *hujson.Value, into reflect.Value) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		d.fail(pointer, v, "wrong type: use a list, in brackets")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(a.Elements), len(a.Elements)))
	for i := range a.Elements {
		d.value(Join(pointer, fmt.Sprint(i)), &a.Elements[i], into.Index(i))
	}
}

func (d *decoder) leaf(pointer string, v *hujson.Value, into reflect.Value) {
	plain := v.Clone()
	plain.Standardize()
	if err := json.Unmarshal(plain.Pack(), into.Addr().Interface()); err != nil {
		d.fail(pointer, v, "%s", Advice(into.Type(), err))
	}
}

// Advice says how to mend a value that failed to decode as a type.
func Advice(t reflect.Type, err error) string {
	var wrong *json.UnmarshalTypeError
	if !errors.As(err, &wrong) {
		return err.Error()
	}
	switch t {
	case reflect.TypeFor[units.Duration]():
		return `wrong type: use text with a number and a unit, such as "150ms" or "2s"`
	case reflect.TypeFor[units.Size]():
		return `wrong type: use text with a whole number and a unit, such as "64KiB"`
	case reflect.TypeFor[netip.AddrPort]():
		return `wrong type: use text such as "127.0.0.1:21000"`
	}
	switch {
	case t.Kind() == reflect.String:
		return "wrong type: use text, in quotes"
	case t.Kind() == reflect.Bool:
		return "wrong type: use true or false"
	case t.Kind() == reflect.Slice:
		return "wrong type: use a list, in brackets"
	case t.Kind() == reflect.Float64:
		return "wrong type: use a number"
	default:
		return "wrong type: use a whole number"
	}
}

func fieldFor(into reflect.Value, key string) (reflect.Value, bool) {
	for i := range into.NumField() {
		f := into.Type().Field(i)
		if f.Anonymous {
			if inner, found := fieldFor(into.Field(i), key); found {
				return inner, true
			}
			continue
		}
		if name := tagOf(f); name == key && name != "" {
			return into.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func keysOf(t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			keys = append(keys, keysOf(f.Type)...)
			continue
		}
		keys = append(keys, tagOf(f))
	}
	return keys
}

func tagOf(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}
