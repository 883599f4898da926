package ctl

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"chicorytray.example/chicorytray/config"
)

// Difference is a field whose values differ between two documents. Values are
// JSON, or empty where the field is missing.
type Difference struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Differences lists the fields in which two documents differ, sorted by field.
// Generation and WriteID are left out. Array elements are matched by their field
// "name" if they have one, otherwise by index. Either document may be nil.
func Differences(before, after *config.Document) []Difference {
	a, b := flattenDocument(before), flattenDocument(after)
	fields := maps.Clone(a)
	maps.Copy(fields, b)
	list := []Difference{}
	for _, field := range slices.Sorted(maps.Keys(fields)) {
		if a[field] != b[field] {
			list = append(list, Difference{field, a[field], b[field]})
		}
	}
	return list
}

// flattenDocument maps the path of each value that is neither an object nor an
// array to the value's JSON.
func flattenDocument(d *config.Document) map[string]string {
	values := map[string]string{}
	if d == nil {
		return values
	}
	data, err := d.EncodeIndent()
	if err != nil {
		return values
	}
	tree, err := decodeTree(data)
	if err != nil {
		return values
	}
	if object, ok := tree.(map[string]any); ok {
		for _, field := range reservedFields {
			delete(object, field)
		}
	}
	flattenInto(values, "", tree)
	return values
}

func flattenInto(values map[string]string, path string, tree any) {
	switch t := tree.(type) {
	case map[string]any:
		for name, value := range t {
			if path != "" {
				name = path + "." + name
			}
			flattenInto(values, name, value)
		}
	case []any:
		for i, item := range t {
			key := fmt.Sprint(i)
			if object, ok := item.(map[string]any); ok {
				if name, ok := object["name"].(string); ok {
					key = name
				}
			}
			flattenInto(values, fmt.Sprintf("%s[%s]", path, key), item)
		}
	default:
		data, _ := json.Marshal(t)
		values[path] = string(data)
	}
}
