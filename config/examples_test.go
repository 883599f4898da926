package config

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against example configurations that Parse refuses. Operators copy them.
func TestExamplesAreValid(t *testing.T) {
	c := qt.New(t)
	paths, err := filepath.Glob("../examples/*/config.json")
	c.Assert(err, qt.IsNil)
	c.Assert(len(paths) >= 2, qt.IsTrue, qt.Commentf("%q", paths))
	for _, path := range paths {
		data, err := os.ReadFile(path)
		c.Assert(err, qt.IsNil)
		_, err = Parse(data)
		c.Check(err, qt.IsNil, qt.Commentf(path))
	}
}

// Guards against example configurations of the two deployments that differ from
// section 1.1 of docs/design.md, or that do not show every kind of template.
func TestExamplesOfTheDeployments(t *testing.T) {
	cases := []struct {
		name        string
		dataCentres []string
		distance    time.Duration
	}{
		{"recife", []string{"ne-br-rec", "ne-br-for", "ne-br-ssa"}, 1500 * time.Microsecond},
		{"tainan", []string{"anping", "chihkan", "annan", "rende"}, 500 * time.Microsecond},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			data, err := os.ReadFile(filepath.Join("../examples", test.name, "config.json"))
			c.Assert(err, qt.IsNil)
			d, err := Parse(data)
			c.Assert(err, qt.IsNil)
			v := NewView(d)
			c.Check(d.DataCentres, qt.HasLen, len(test.dataCentres))
			for _, from := range test.dataCentres {
				c.Check(v.InService(from), qt.IsTrue, qt.Commentf(from))
				for _, to := range test.dataCentres {
					if from != to {
						c.Check(v.Distance(from, to), qt.Equals, test.distance)
					}
				}
			}
			c.Check(len(d.Accounts) >= 2, qt.IsTrue)
			seen := map[any]bool{}
			for _, tpl := range d.Templates {
				seen[tpl.Kind], seen[tpl.Idempotent], seen[tpl.Urgency] = true, true, true
			}
			c.Check(seen[KindJob] && seen[KindRequest] && seen[true] && seen[false], qt.IsTrue)
			c.Check(len(seen) >= 4+3, qt.IsTrue, qt.Commentf("at least three urgencies: %v", seen))
		})
	}
}
