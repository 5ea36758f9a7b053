package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
)

// Marshal writes settings as a file that Load reads back to an equal value. Keys are in alphabetical order; optional
// ones whose value is an empty text or list are left out.
//
// encoding/json alone would write durations as bare numbers, which Load refuses.
func Marshal(settings any) ([]byte, error) {
	return json.MarshalIndent(plainValue(reflect.Indirect(reflect.ValueOf(settings))), "", "  ")
}

// plainValue turns a value into what encoding/json writes in the form of a settings file.
func plainValue(v reflect.Value) any {
	switch v.Type() {
	case durationType, sizeType, levelType:
		return fmt.Sprint(v.Interface())
	}
	switch v.Kind() {
	case reflect.Struct:
		return plainObject(v)
	case reflect.Slice:
		list := make([]any, 0, v.Len())
		for i := range v.Len() {
			list = append(list, plainValue(v.Index(i)))
		}
		return list
	default:
		return v.Interface()
	}
}

func plainObject(v reflect.Value) map[string]any {
	object := map[string]any{}
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if !hasTag(field.Tag.Get("settings"), tagRequired) && omitted(v.Field(i)) {
			continue
		}
		object[field.Tag.Get("json")] = plainValue(v.Field(i))
	}
	return object
}

// omitted tells whether a file without the key gives the same. Every default of a text or list is the empty one;
// other zero values differ from their defaults, such as the log level debug.
func omitted(v reflect.Value) bool {
	kind := v.Kind()
	return (kind == reflect.String || kind == reflect.Slice) && v.Len() == 0
}
