package config

import (
	"fmt"
	"slices"
	"strings"
)

// regionsOf returns the set of the regions of the data centres.
func regionsOf(d *Document) map[string]bool {
	regions := make(map[string]bool, len(d.DataCentres))
	for i := range d.DataCentres {
		regions[d.DataCentres[i].Region] = true
	}
	return regions
}

// allowedDataCentres returns the names of the data centres in which tasks of the
// template may run; nil if its lists exclude all.
func allowedDataCentres(d *Document, t *Template) []string {
	var names []string
	for i := range d.DataCentres {
		dc := &d.DataCentres[i]
		if (len(t.DataCentres) == 0 || slices.Contains(t.DataCentres, dc.Name)) &&
			(len(t.Regions) == 0 || slices.Contains(t.Regions, dc.Region)) {
			names = append(names, dc.Name)
		}
	}
	return names
}

// regionResolver returns a function that returns a template without regions that allows
// the same data centres. Templates with equal lists share the result, because a document
// may have thousands of them.
func regionResolver(d *Document) func(*Template) *Template {
	resolved := map[string][]string{}
	return func(t *Template) *Template {
		if len(t.Regions) == 0 {
			return t
		}
		key := strings.Join(t.DataCentres, ",") + "/" + strings.Join(t.Regions, ",")
		if resolved[key] == nil {
			resolved[key] = allowedDataCentres(d, t)
		}
		r := *t
		r.DataCentres, r.Regions = resolved[key], nil
		return &r
	}
}

// places checks the data centres and regions of a template. The sets hold those of the
// document.
func (v *validator) places(path string, d *Document, t *Template, dataCentres, regions map[string]bool) {
	before := len(v.problems)
	v.subset(path+".data_centres", "data centre", t.DataCentres, dataCentres)
	v.subset(path+".regions", "region of a data centre", t.Regions, regions)
	if len(t.DataCentres) > 0 && len(t.Regions) > 0 && len(v.problems) == before {
		v.check(len(allowedDataCentres(d, t)) > 0, path+".regions", "none of data_centres is in them; nothing could start")
	}
}

// subset checks that the names are in the set, each once.
func (v *validator) subset(field, kind string, names []string, set map[string]bool) {
	seen := map[string]bool{}
	for i, name := range names {
		f := fmt.Sprintf("%s[%d]", field, i)
		if !set[name] { // joinNames takes long for many data centres
			v.check(false, f, "%q is not a %s; give one of %s", truncate(name), kind, joinNames(set))
		}
		v.check(!seen[name], f, "%q is listed more than once", truncate(name))
		seen[name] = true
	}
}
