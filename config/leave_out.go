package config

import (
	"fmt"
	"strings"

	"chicorytray.example/chicorytray/internal/strictjson"
)

// LeaveOutRoutes removes the templates and routes that make the document invalid, so
// that one route that cannot be used does not keep the others from being put in force.
// A route whose template is removed is closed, unless another one has its host and
// prefix. LeaveOutRoutes returns the problems, whose fields have the indexes from before.
// Problems of other fields remain.
func (d *Document) LeaveOutRoutes() []strictjson.Problem {
	found := problemsIn(validate(d), "templates")
	var problems []strictjson.Problem
	var templates []Template
	usable := map[string]bool{} // by the names of the templates
	for i := range d.Templates {
		problems = append(problems, found[i]...)
		name, left := d.Templates[i].Name, len(found[i]) > 0
		usable[name] = usable[name] || !left
		if !left {
			templates = append(templates, d.Templates[i])
		}
	}
	// Closed routes come last, so that of two routes with the same host and prefix the
	// one that can be used stays.
	var routes, closed []Route
	var indexes, closedIndexes []int // in d.Routes
	for i, r := range d.Routes {
		if u, known := usable[r.Template]; known && !u {
			r = Route{Host: r.Host, Prefix: r.Prefix, Closed: true}
		}
		if r.Closed {
			closed, closedIndexes = append(closed, r), append(closedIndexes, i)
		} else {
			routes, indexes = append(routes, r), append(indexes, i)
		}
	}
	routes, indexes = append(routes, closed...), append(indexes, closedIndexes...)
	v := new(validator)
	v.routes(routes, templates)
	found = problemsIn(v.problems, "routes")
	d.Templates, d.Routes = templates, nil
	for i, r := range routes {
		if _, left := found[i]; !left {
			d.Routes = append(d.Routes, r)
			continue
		}
		if r.Closed {
			continue // why it is closed is reported
		}
		for _, p := range found[i] {
			p.Field = strings.Replace(p.Field, fmt.Sprintf("routes[%d]", i), fmt.Sprintf("routes[%d]", indexes[i]), 1)
			problems = append(problems, p)
		}
	}
	return problems
}

// problemsIn returns the problems of the elements of a list, by index.
func problemsIn(problems []strictjson.Problem, list string) map[int][]strictjson.Problem {
	out := map[int][]strictjson.Problem{}
	for _, p := range problems {
		var i int
		if n, _ := fmt.Sscanf(p.Field, list+"[%d]", &i); n == 1 {
			out[i] = append(out[i], p)
		}
	}
	return out
}
