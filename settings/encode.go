package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
)

// Marshal encodes settings as a settings file that Load decodes to an equal value. Keys are in alphabetical order, and
// optional keys whose value is an empty string or list are omitted.
//
// Calling encoding/json directly would encode durations as bare numbers, which Load rejects.
func Marshal(settings any) ([]byte, error) {
	return json.MarshalIndent(jsonValue(reflect.Indirect(reflect.ValueOf(settings))), "", "  ")
}

// jsonValue converts v to a value that encoding/json encodes in the format of settings files.
func jsonValue(v reflect.Value) any {
	switch v.Type() {
	case durationType, sizeType, levelType:
		return fmt.Sprint(v.Interface())
	}
	switch v.Kind() {
	case reflect.Struct:
		return jsonObject(v)
	case reflect.Slice:
		list := make([]any, 0, v.Len())
		for i := range v.Len() {
			list = append(list, jsonValue(v.Index(i)))
		}
		return list
	default:
		return v.Interface()
	}
}

func jsonObject(v reflect.Value) map[string]any {
	object := map[string]any{}
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if !hasTag(field.Tag.Get("settings"), tagRequired) && omitEmpty(v.Field(i)) {
			continue
		}
		object[field.Tag.Get("json")] = jsonValue(v.Field(i))
	}
	return object
}

// omitEmpty reports whether v can be omitted, since decoding a file without the key yields the same value. That holds
// for empty strings and lists, whose default is empty. Other zero values differ from their defaults, such as the log
// level debug.
func omitEmpty(v reflect.Value) bool {
	kind := v.Kind()
	return (kind == reflect.String || kind == reflect.Slice) && v.Len() == 0
}
