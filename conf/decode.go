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

// Decode decodes the file into the struct that into points to; the error joins an Error for each unknown or duplicate key and each invalid value.
func (f *File) Decode(into any) error {
	d := &decoder{file: f}
	d.decodeValue("", &f.root, reflect.ValueOf(into).Elem())
	return errors.Join(d.findings...)
}

// decoder walks the values of a file together with the Go value that they are decoded into, and collects all errors.
type decoder struct {
	file     *File
	findings []error
}

// addError adds an error for the value v at a JSON pointer.
func (d *decoder) addError(pointer string, v *hujson.Value, format string, args ...any) {
	d.findings = append(d.findings, d.file.errorAt(pointer, v, fmt.Sprintf(format, args...)))
}

// decodeValue decodes the value at a JSON pointer; types with their own unmarshaller are decoded as scalars.
func (d *decoder) decodeValue(pointer string, v *hujson.Value, into reflect.Value) {
	_, unmarshalsJSON := into.Addr().Interface().(json.Unmarshaler)
	_, unmarshalsText := into.Addr().Interface().(encoding.TextUnmarshaler)
	switch {
	case string(literalOf(v)) == "null":
		d.addError(pointer, v, "null is no value: give one or leave the key out")
	case unmarshalsJSON && into.Type() != rawMessageType, unmarshalsText:
		d.decodeScalar(pointer, v, into)
	case into.Kind() == reflect.Struct:
		d.decodeStruct(pointer, v, into)
	case into.Kind() == reflect.Map:
		d.decodeMap(pointer, v, into)
	case into.Kind() == reflect.Slice && into.Type() != rawMessageType:
		d.decodeList(pointer, v, into)
	default:
		d.decodeScalar(pointer, v, into)
	}
}

var rawMessageType = reflect.TypeFor[json.RawMessage]()

// literalOf returns the text of a literal, or nil for an object or array.
func literalOf(v *hujson.Value) []byte {
	if l, ok := v.Value.(hujson.Literal); ok {
		return l
	}
	return nil
}

// members returns the members of an object in file order, without duplicates, and adds an error for each duplicate key.
func (d *decoder) members(pointer string, v *hujson.Value) (names []string, values []*hujson.Value) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addError(pointer, v, "wrong type: use an object, in braces")
		return nil, nil
	}
	seen := map[string]bool{}
	for i := range o.Members {
		name := o.Members[i].Name.Value.(hujson.Literal).String()
		value := &o.Members[i].Value
		if seen[name] {
			d.addError(Join(pointer, name), value, "the key stands here twice: remove one")
			continue
		}
		seen[name] = true
		names = append(names, name)
		values = append(values, value)
	}
	return names, values
}

func (d *decoder) decodeStruct(pointer string, v *hujson.Value, into reflect.Value) {
	names, values := d.members(pointer, v)
	for i, name := range names {
		memberPointer := Join(pointer, name)
		field, known := fieldByKey(into, name)
		if !known {
			d.addError(memberPointer, values[i], "unknown key: use one of %s", strings.Join(knownKeys(into.Type()), ", "))
			continue
		}
		d.decodeValue(memberPointer, values[i], field)
	}
}

func (d *decoder) decodeMap(pointer string, v *hujson.Value, into reflect.Value) {
	names, values := d.members(pointer, v)
	into.Set(reflect.MakeMap(into.Type()))
	for i, name := range names {
		element := reflect.New(into.Type().Elem()).Elem()
		d.decodeValue(Join(pointer, name), values[i], element)
		into.SetMapIndex(reflect.ValueOf(name), element)
	}
}

func (d *decoder) decodeList(pointer string, v *hujson.Value, into reflect.Value) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addError(pointer, v, "wrong type: use a list, in brackets")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(a.Elements), len(a.Elements)))
	for i := range a.Elements {
		d.decodeValue(Join(pointer, fmt.Sprint(i)), &a.Elements[i], into.Index(i))
	}
}

func (d *decoder) decodeScalar(pointer string, v *hujson.Value, into reflect.Value) {
	withoutComments := v.Clone()
	withoutComments.Standardize()
	if err := json.Unmarshal(withoutComments.Pack(), into.Addr().Interface()); err != nil {
		d.addError(pointer, v, "%s", DescribeDecodeError(into.Type(), err))
	}
}

// DescribeDecodeError returns what to write instead of a value that failed to decode as type t with err.
func DescribeDecodeError(t reflect.Type, err error) string {
	var typeError *json.UnmarshalTypeError
	if !errors.As(err, &typeError) {
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

// fieldByKey returns the field of a struct, or of a struct embedded in it, that has the JSON key.
func fieldByKey(into reflect.Value, key string) (reflect.Value, bool) {
	for i := range into.NumField() {
		f := into.Type().Field(i)
		if f.Anonymous {
			if inner, found := fieldByKey(into.Field(i), key); found {
				return inner, true
			}
			continue
		}
		if name := keyOf(f); name == key && name != "" {
			return into.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// knownKeys returns the JSON keys of a struct type and of the structs embedded in it.
func knownKeys(t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			keys = append(keys, knownKeys(f.Type)...)
			continue
		}
		keys = append(keys, keyOf(f))
	}
	return keys
}

// keyOf returns the JSON key in a field's struct tag.
func keyOf(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}
