package config_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/internal/strictjson"
)

// Guards against one route that cannot be used and keeps all others from being put in
// force (review case 10), against one that is removed without a report, and against a
// report whose size grows without a bound. A route whose template cannot be used must not
// be refused as if it did not exist, or take the place of one that can be used.
func TestRoutesThatCannotBeUsedAreLeftOut(t *testing.T) {
	c := qt.New(t)
	d := &config.Document{
		DataCentres: []config.DataCentre{{Name: "anping", Region: "tainan", InService: true}},
		Accounts:    []config.Account{{Name: "a"}},
	}
	add := func(host, prefix, pool string, attempts int) {
		name := fmt.Sprintf("r%d", len(d.Routes))
		d.Templates = append(d.Templates, config.Template{Name: name, Account: "a", Kind: config.KindLeased, Pool: pool,
			DeadlineMS: 1000, MaxAttempts: attempts, SlackFactor: 1})
		d.Routes = append(d.Routes, config.Route{Host: host, Prefix: prefix, Template: name})
	}
	add("a.example", "/a/", "no pool", 3) // the next one has its host and prefix
	add("a.example", "/a/", "s", 3)
	add("a.example:80", "/b/", "s", 3)
	add("a.example", "/c/", "s", 100)
	add("a.example", "c", "s", 3)
	add("A.example", "/a/", "s", 3) // repeated
	add("a.example", "/"+strings.Repeat("p", 9_000), "s", 3)
	add("a.example", "/d/", "s", 120)
	add("a.example", "/e/", "s", 0)
	add("a.example", "/e/", "also no pool", 3)
	add("a.example", "/f", "no pool", 3)
	problems := d.LeaveOutRoutes()
	c.Check(d.Validate(), qt.IsNil)
	var kept, closed, reported []string
	for _, r := range d.Routes {
		if r.Closed {
			closed = append(closed, r.Prefix)
			continue
		}
		kept = append(kept, r.Template)
	}
	for _, p := range problems {
		reported = append(reported, p.Field)
	}
	c.Check(kept, qt.DeepEquals, []string{"r1", "r3", "r7"})
	c.Check(closed, qt.DeepEquals, []string{"/e/", "/f"})
	c.Check(reported, qt.DeepEquals, []string{"templates[0].pool", "templates[8].max_attempts", "templates[9].pool", "templates[10].pool",
		"routes[2].host", "routes[4].prefix", "routes[5]", "routes[6].prefix"})
	c.Check(d.LeaveOutRoutes(), qt.HasLen, 0)

	many := &config.Error{Problems: make([]strictjson.Problem, 50_000)}
	c.Check(len(many.Error()) < 2_000, qt.IsTrue, qt.Commentf("%d bytes", len(many.Error())))
	c.Check(many.Error(), qt.Contains, "49990 more")
}
