// Package strictjson decodes JSON documents that are written by hand. Unlike
// encoding/json it reports all problems of a document at once, each with the path
// of its field. It rejects unknown and repeated fields, names in a different case,
// null, and data after the document.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

// maxQuoted is the maximum number of bytes of a rejected value that a problem
// shows.
const maxQuoted = 40

// Problem is one error in a document.
type Problem struct {
	// Field is the path of the field, for example "templates[2].kind". It is
	// empty if the problem concerns the whole document.
	Field string
	// Fault says what is wrong and which values are accepted.
	Fault string
}

// String formats the problem on one line.
func (p Problem) String() string {
	if p.Field == "" {
		return p.Fault
	}
	return p.Field + ": " + p.Fault
}

// Decode decodes data into the struct to which into points, and returns all
// problems. A field with a problem keeps its previous value.
func Decode(data []byte, into any) []Problem {
	if !utf8.Valid(data) {
		return []Problem{{Fault: "not valid UTF-8"}}
	}
	var probe json.RawMessage
	if err := json.Unmarshal(data, &probe); err != nil {
		return []Problem{{Fault: syntaxFault(data, err)}}
	}
	d := &decoder{}
	d.decodeValue("", probe, reflect.ValueOf(into).Elem())
	return d.problems
}

func syntaxFault(data []byte, err error) string {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return "not valid JSON: " + err.Error()
	}
	before := data[:min(int(syntax.Offset), len(data))]
	line := bytes.Count(before, []byte{'\n'}) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n') - 1
	return fmt.Sprintf("not valid JSON at line %d, column %d: %v", line, column, err)
}

type decoder struct{ problems []Problem }

func (d *decoder) addProblem(path, format string, args ...any) {
	d.problems = append(d.problems, Problem{path, fmt.Sprintf(format, args...)})
}

// decodeValue decodes raw, which is valid JSON, into v. path is that of v in the
// document.
func (d *decoder) decodeValue(path string, raw json.RawMessage, v reflect.Value) {
	raw = bytes.TrimSpace(raw)
	if string(raw) == "null" {
		d.addProblem(path, "null is not accepted; leave the field out or give %s", acceptedKind(v))
		return
	}
	if u, ok := v.Addr().Interface().(json.Unmarshaler); ok {
		if err := u.UnmarshalJSON(raw); err != nil {
			d.addProblem(path, "%v", err)
		}
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			v.Set(reflect.New(v.Type().Elem()))
		}
		d.decodeValue(path, raw, v.Elem())
	case reflect.Struct:
		d.decodeStruct(path, raw, v)
	case reflect.Map:
		d.decodeMap(path, raw, v)
	case reflect.Slice:
		d.decodeSlice(path, raw, v)
	default:
		d.decodeScalar(path, raw, v)
	}
}

// member is one name and value of a JSON object.
type member struct {
	name string
	raw  json.RawMessage
}

// decodeMembers returns the members of an object in the order of the document. For
// a repeated name it adds a problem and keeps the first value. It returns false if
// raw is not an object.
func (d *decoder) decodeMembers(path string, raw json.RawMessage, v reflect.Value) ([]member, bool) {
	if raw[0] != '{' {
		d.addWrongKind(path, raw, v)
		return nil, false
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	_, _ = dec.Token()
	var list []member
	seen := map[string]bool{}
	for dec.More() {
		token, _ := dec.Token()
		name, _ := token.(string)
		var m member
		m.name = name
		if err := dec.Decode(&m.raw); err != nil {
			d.addProblem(joinPath(path, name), "%v", err)
			return list, true
		}
		if seen[name] {
			d.addProblem(joinPath(path, name), "given more than once")
			continue
		}
		seen[name] = true
		list = append(list, m)
	}
	return list, true
}

func (d *decoder) decodeStruct(path string, raw json.RawMessage, v reflect.Value) {
	list, ok := d.decodeMembers(path, raw, v)
	if !ok {
		return
	}
	fields, names := fieldsOf(v.Type())
	for _, m := range list {
		if i, ok := fields[m.name]; ok {
			d.decodeValue(joinPath(path, m.name), m.raw, v.Field(i))
			continue
		}
		d.addProblem(joinPath(path, m.name), "unknown field; accepted here: %s", strings.Join(names, ", "))
	}
}

func (d *decoder) decodeMap(path string, raw json.RawMessage, v reflect.Value) {
	list, ok := d.decodeMembers(path, raw, v)
	if !ok {
		return
	}
	v.Set(reflect.MakeMapWithSize(v.Type(), len(list)))
	for _, m := range list {
		elem := reflect.New(v.Type().Elem()).Elem()
		d.decodeValue(joinPath(path, m.name), m.raw, elem)
		v.SetMapIndex(reflect.ValueOf(m.name).Convert(v.Type().Key()), elem)
	}
}

func (d *decoder) decodeSlice(path string, raw json.RawMessage, v reflect.Value) {
	if raw[0] != '[' {
		d.addWrongKind(path, raw, v)
		return
	}
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		d.addProblem(path, "%v", err)
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(items), len(items)))
	for i, item := range items {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), item, v.Index(i))
	}
}

func (d *decoder) decodeScalar(path string, raw json.RawMessage, v reflect.Value) {
	text := string(raw)
	switch {
	case v.Kind() == reflect.String && raw[0] == '"':
		var s string
		_ = json.Unmarshal(raw, &s)
		v.SetString(s)
		return
	case v.Kind() == reflect.Bool && (text == "true" || text == "false"):
		v.SetBool(text == "true")
		return
	case v.CanInt():
		if n, err := strconv.ParseInt(text, 10, v.Type().Bits()); err == nil {
			v.SetInt(n)
			return
		}
	case v.CanUint():
		if n, err := strconv.ParseUint(text, 10, v.Type().Bits()); err == nil {
			v.SetUint(n)
			return
		}
	case v.CanFloat() && raw[0] != '"':
		if f, err := strconv.ParseFloat(text, v.Type().Bits()); err == nil {
			v.SetFloat(f)
			return
		}
	}
	d.addWrongKind(path, raw, v)
}

func (d *decoder) addWrongKind(path string, raw json.RawMessage, v reflect.Value) {
	d.addProblem(path, "%s is not accepted; give %s", truncated(raw), acceptedKind(v))
}

func truncated(raw json.RawMessage) string {
	if len(raw) > maxQuoted {
		return strings.ToValidUTF8(string(raw[:maxQuoted]), "") + "..."
	}
	return string(raw)
}

func acceptedKind(v reflect.Value) string {
	switch {
	case v.Kind() == reflect.Struct || v.Kind() == reflect.Map:
		return "an object"
	case v.Kind() == reflect.Slice:
		return "an array"
	case v.Kind() == reflect.String:
		return "a string"
	case v.Kind() == reflect.Bool:
		return "true or false"
	case v.CanInt():
		return "a whole number"
	case v.CanUint():
		return "a whole number of at least 0"
	case v.CanFloat():
		return "a number"
	}
	return "a value of type " + v.Type().String()
}

// fieldsOf returns the indexes of a struct's fields by their JSON names, and these
// names sorted.
func fieldsOf(t reflect.Type) (map[string]int, []string) {
	fields := make(map[string]int, t.NumField())
	var names []string
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if !f.IsExported() || name == "-" {
			continue
		}
		if name == "" {
			name = f.Name
		}
		fields[name] = i
		names = append(names, name)
	}
	slices.Sort(names)
	return fields, names
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
