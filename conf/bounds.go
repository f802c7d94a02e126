package conf

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// DefaultJSON returns the default value in a setting's struct tag as JSON, or nil if the setting has no default.
func DefaultJSON(f reflect.StructField) json.RawMessage {
	value, found := f.Tag.Lookup("default")
	if !found {
		return nil
	}
	// Strings stand in the tag without quotes, all other types as JSON.
	if json.Unmarshal([]byte(value), reflect.New(f.Type).Interface()) == nil {
		return json.RawMessage(value)
	}
	quoted, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("default of %s: %v", f.Name, err))
	}
	return quoted
}

// CheckBounds returns how a value violates the bounds or choices in its setting's struct tag, or "" if it is valid.
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
	if n := toFloat(v); n < parseBound(v.Type(), low) || n > parseBound(v.Type(), high) {
		return fmt.Sprintf("out of bounds: use %s to %s", low, high)
	}
	return ""
}

// parseBound converts the text of a bound to a number that can be compared with toFloat of a value of type t.
func parseBound(t reflect.Type, text string) float64 {
	if n, err := strconv.ParseFloat(text, 64); err == nil {
		return n
	}
	v := reflect.New(t)
	if err := json.Unmarshal([]byte(strconv.Quote(text)), v.Interface()); err != nil {
		panic(fmt.Sprintf("bound %q of a %s: %v", text, t, err))
	}
	return toFloat(v.Elem())
}

// toFloat returns a numeric value as a float64.
func toFloat(v reflect.Value) float64 {
	if v.CanInt() {
		return float64(v.Int())
	}
	return v.Float()
}

// setDefaults sets each field of the struct that into points to to the default in its struct tag.
func setDefaults(into any) {
	v := reflect.ValueOf(into).Elem()
	for i := range v.NumField() {
		value := DefaultJSON(v.Type().Field(i))
		if value == nil {
			continue
		}
		if err := json.Unmarshal(value, v.Field(i).Addr().Interface()); err != nil {
			panic(fmt.Sprintf("default of %s: %v", v.Type().Field(i).Name, err))
		}
	}
}

// checkBounds returns an error for each field of the struct that settings points to whose value violates the bounds in its struct tag.
func (f *File) checkBounds(settings any) []error {
	var errs []error
	v := reflect.ValueOf(settings).Elem()
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if text := CheckBounds(field.Tag, v.Field(i)); text != "" {
			errs = append(errs, f.Errorf("/"+keyOf(field), "%s", text))
		}
	}
	return errs
}
