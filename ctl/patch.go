package ctl

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"
	"strings"

	"chicorytray.example/chicorytray/config"
)

// reservedFields are set when a document is written, and cannot be edited.
var reservedFields = []string{"generation", "write_id"}

// MergePatch returns an edit that applies a JSON merge patch (RFC 7386): null
// removes a field, and an array replaces the whole array.
func MergePatch(patch []byte) func(*config.Document) (*config.Document, error) {
	return func(d *config.Document) (*config.Document, error) {
		change, err := decodeTree(patch)
		if err != nil {
			return nil, invalidChange("merge patch: %v", err)
		}
		object, ok := change.(map[string]any)
		if !ok {
			return nil, invalidChange("merge patch: want a JSON object")
		}
		for _, field := range reservedFields {
			if _, ok := object[field]; ok {
				return nil, invalidChange("merge patch: %s is set when the document is written; leave it out", field)
			}
		}
		return editTree(d, func(tree any) (any, error) { return mergePatch(tree, change), nil })
	}
}

func mergePatch(target, patch any) any {
	changes, ok := patch.(map[string]any)
	if !ok {
		return patch
	}
	object, ok := target.(map[string]any)
	if !ok {
		object = map[string]any{}
	}
	for name, value := range changes {
		if value == nil {
			delete(object, name)
			continue
		}
		object[name] = mergePatch(object[name], value)
	}
	return object
}

// Assignments returns an edit that sets fields. Each assignment has the form
// field=value, for example "templates[proof].urgency=1". An array element is
// selected by its name or its index. The value is JSON; text that is not valid
// JSON is taken as a string, and null removes the field.
func Assignments(list []string) func(*config.Document) (*config.Document, error) {
	return func(d *config.Document) (*config.Document, error) {
		return editTree(d, func(tree any) (any, error) {
			for _, text := range list {
				path, value, ok := strings.Cut(text, "=")
				if !ok {
					return nil, invalidChange("%q: want field=value", text)
				}
				if err := assign(tree, path, value); err != nil {
					return nil, invalidChange("%q: %v", text, err)
				}
			}
			return tree, nil
		})
	}
}

func assign(tree any, path, text string) error {
	steps, err := splitPath(path)
	if err != nil {
		return err
	}
	for _, field := range reservedFields {
		if steps[0] == field {
			return errors.New("the field is set when the document is written; it cannot be edited")
		}
	}
	value, err := decodeTree([]byte(text))
	if err != nil {
		value = text
	}
	for len(steps) > 1 {
		if tree, err = child(tree, steps[0]); err != nil {
			return err
		}
		steps = steps[1:]
	}
	last := steps[0]
	switch parent := tree.(type) {
	case map[string]any:
		if value == nil {
			delete(parent, last)
		} else {
			parent[last] = value
		}
		return nil
	case []any:
		i, err := elementIndex(parent, last)
		if err == nil {
			parent[i] = value
		}
		return err
	}
	return errors.New("the field around " + strconv.Quote(last) + " is neither an object nor an array")
}

// splitPath splits a path into its elements, for example
// "templates[proof].urgency" into "templates", "proof" and "urgency".
func splitPath(path string) ([]string, error) {
	dotted := strings.NewReplacer("[", ".", "]", "").Replace(path)
	steps := strings.Split(dotted, ".")
	for _, s := range steps {
		if s == "" {
			return nil, errors.New("the path of the field has an empty element")
		}
	}
	return steps, nil
}

func child(tree any, step string) (any, error) {
	switch parent := tree.(type) {
	case map[string]any:
		if c, ok := parent[step]; ok {
			return c, nil
		}
		c := map[string]any{}
		parent[step] = c
		return c, nil
	case []any:
		i, err := elementIndex(parent, step)
		if err != nil {
			return nil, err
		}
		return parent[i], nil
	}
	return nil, errors.New(strconv.Quote(step) + " is in neither an object nor an array")
}

// elementIndex returns the index of the array element whose field "name" is step.
// If there is none, step is the index in decimal.
func elementIndex(list []any, step string) (int, error) {
	var names []string
	for i, item := range list {
		object, _ := item.(map[string]any)
		name, ok := object["name"].(string)
		if ok && name == step {
			return i, nil
		}
		if ok {
			names = append(names, name)
		}
	}
	if i, err := strconv.Atoi(step); err == nil && 0 <= i && i < len(list) {
		return i, nil
	}
	return 0, errors.New("no element " + strconv.Quote(step) + "; there are " + strconv.Itoa(len(list)) + ": " + strings.Join(names, ", "))
}

// editTree applies an edit to the document's decoded JSON and parses the result.
func editTree(d *config.Document, edit func(tree any) (any, error)) (*config.Document, error) {
	data, err := d.Encode()
	if err != nil {
		return nil, err
	}
	tree, err := decodeTree(data)
	if err != nil {
		return nil, err
	}
	if tree, err = edit(tree); err != nil {
		return nil, err
	}
	if data, err = json.Marshal(tree); err != nil {
		return nil, err
	}
	next, err := config.Parse(data)
	if err == nil {
		_, err = next.EncodeValue()
	}
	return next, err
}

// decodeTree decodes one JSON value. Numbers become json.Number, so that they
// keep their digits.
func decodeTree(data []byte) (any, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var tree any
	if err := d.Decode(&tree); err != nil {
		return nil, err
	}
	if d.More() {
		return nil, errors.New("unexpected data after the JSON value")
	}
	return tree, nil
}
