package conf

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// Fallback returns the default that a setting's tag states, as JSON; nil means that it has none.
func Fallback(f reflect.StructField) json.RawMessage {
	value, stated := f.Tag.Lookup("default")
	if !stated {
		return nil
	}
	// Text is quoted, all other kinds stand in the tag as in JSON.
	if json.Unmarshal([]byte(value), reflect.New(f.Type).Interface()) == nil {
		return json.RawMessage(value)
	}
	quoted, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("default of %s: %v", f.Name, err))
	}
	return quoted
}

// CheckBounds says how a value breaks the bounds or choices that its setting's tag states, or "".
func CheckBounds(tag reflect.StructTag, v reflect.Value) string {
	if choices := tag.Get("oneof"); choices != "" {
		for _, c := range strings.Fields(choices) {
			if v.String() == c {
				return ""
			}
		}
		return "use one of " + strings.ReplaceAll(choices, " ", ", ")
	}
	low, high := tag.Get("min"), tag.Get("max")
	if low == "" {
		return ""
	}
	if n := number(v); n < bound(v.Type(), low) || n > bound(v.Type(), high) {
		return fmt.Sprintf("out of bounds: use %s to %s", low, high)
	}
	return ""
}

// bound returns a bound as the number that a value of its type is compared with.
func bound(t reflect.Type, text string) float64 {
	if n, err := strconv.ParseFloat(text, 64); err == nil {
		return n
	}
	v := reflect.New(t)
	if err := json.Unmarshal([]byte(strconv.Quote(text)), v.Interface()); err != nil {
		panic(fmt.Sprintf("bound %q of a %s: %v", text, t, err))
	}
	return number(v.Elem())
}

func number(v reflect.Value) float64 {
	if v.CanInt() {
		return float64(v.Int())
	}
	return v.Float()
}

// setDefaults gives each setting of the struct that into points to the default of its tag.
func setDefaults(into any) {
	v := reflect.ValueOf(into).Elem()
	for i := range v.NumField() {
		value := Fallback(v.Type().Field(i))
		if value == nil {
			continue
		}
		if err := json.Unmarshal(value, v.Field(i).Addr().Interface()); err != nil {
			panic(fmt.Sprintf("default of %s: %v", v.Type().Field(i).Name, err))
		}
	}
}

// checkBounds finds the settings of the struct that from points to whose values break the bounds of their tags.
func (f *File) checkBounds(from any) []error {
	var all []error
	v := reflect.ValueOf(from).Elem()
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if text := CheckBounds(field.Tag, v.Field(i)); text != "" {
			all = append(all, f.Errorf("/"+tagOf(field), "%s", text))
		}
	}
	return all
}
