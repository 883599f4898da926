package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"reflect"
	"sort"
	"strings"
)

// decoder reads one JSON document into a struct that already holds the
// defaults. encoding/json stops at the first error, accepts names in any case
// and keeps the last of two equal names, so the objects are walked here and
// only the leaves are left to it.
type decoder struct {
	problems problems
	present  map[string]bool // paths of the fields that the document gives
}

// decode fills target, a pointer to a struct.
func decode(data []byte, target any) *decoder {
	d := &decoder{present: map[string]bool{}}
	if !json.Valid(data) {
		d.problems.add("(document)", syntaxError(data), "one JSON object")
		return d
	}
	d.object("", data, reflect.ValueOf(target).Elem())
	return d
}

func syntaxError(data []byte) string {
	var v any
	err := json.Unmarshal(data, &v)
	if err == nil {
		return "invalid JSON"
	}
	return err.Error()
}

// object decodes one JSON object into the fields of a struct.
func (d *decoder) object(path string, data []byte, v reflect.Value) {
	dec := json.NewDecoder(bytes.NewReader(data))
	if open, err := dec.Token(); err != nil || open != json.Delim('{') {
		d.problems.add(orDocument(path), string(data), "a JSON object")
		return
	}
	fields := fieldsOf(v)
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			d.problems.add(orDocument(path), err.Error(), "a JSON object")
			return
		}
		var raw json.RawMessage
		if err := dec.Decode(&raw); err != nil && !errors.Is(err, io.EOF) {
			d.problems.add(orDocument(path), err.Error(), "a JSON object")
			return
		}
		name, _ := key.(string)
		d.field(join(path, name), name, raw, fields)
	}
}

func (d *decoder) field(path, name string, raw []byte, fields map[string]reflect.Value) {
	target, known := fields[name]
	switch {
	case !known:
		d.problems.add(path, "unknown field", "one of "+strings.Join(sortedNames(fields), ", "))
	case d.present[path]:
		d.problems.add(path, "repeated field", "each field once")
	case bytes.Equal(bytes.TrimSpace(raw), []byte("null")):
		d.problems.add(path, "null", acceptedFor(target.Type()))
	default:
		d.value(path, raw, target)
	}
	d.present[path] = true
}

func (d *decoder) value(path string, raw []byte, target reflect.Value) {
	_, custom := target.Addr().Interface().(json.Unmarshaler)
	if target.Kind() == reflect.Struct && !custom {
		d.object(path, raw, target)
		return
	}
	fresh := reflect.New(target.Type())
	err := json.Unmarshal(raw, fresh.Interface())
	var p *Problem
	switch {
	case errors.As(err, &p):
		d.problems.add(path, p.Value, p.Accepted)
	case err != nil:
		d.problems.add(path, string(raw), acceptedFor(target.Type()))
	default:
		target.Set(fresh.Elem())
	}
}

func fieldsOf(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value, v.NumField())
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = v.Field(i)
		}
	}
	return fields
}

func sortedNames(fields map[string]reflect.Value) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func acceptedFor(t reflect.Type) string {
	if t == reflect.TypeFor[Duration]() {
		return acceptedDuration
	}
	switch t.Kind() {
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.String:
		return "a string"
	case reflect.Slice:
		return "a list of strings"
	default:
		return "a JSON object"
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func orDocument(path string) string {
	if path == "" {
		return "(document)"
	}
	return path
}
