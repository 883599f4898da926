package config

import (
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// leasedDocument returns the valid test document with two templates of leased
// tasks and routes added.
func leasedDocument(t testing.TB) string {
	const template = `{"name": "steps", "account": "bureau", "kind": "leased", "urgency": 0, "needs": {"milli_cpu": 2000},
		"deadline_ms": 3600, "pool": "pool/A:1", "max_attempts": 3, "slack_factor": 2.5, "target_ms": 300},`
	second := strings.Replace(strings.Replace(template, "steps", "steps-2", 1), `"target_ms": 300`, `"target_ms": 0`, 1)
	text := strings.Replace(string(sample(t)), `"limits": {}`, `"limits": {}, "routes": [
		{"host": "Portal.example", "prefix": "/", "template": "steps"},
		{"host": "portal.example", "prefix": "/review", "template": "steps-2"}]`, 1)
	return strings.Replace(text, `"templates": [`, `"templates": [`+template+second, 1)
}

// Guards against accepting a leased template or a route that entries cannot use,
// and against accepting leased fields in templates of other kinds, where they
// have no effect.
func TestParseChecksLeasedTemplatesAndRoutes(t *testing.T) {
	for _, tc := range []struct {
		name, old, replace string
		want               []string
	}{
		{"valid", "", "", nil},
		{"values", `"pool": "pool/A:1", "max_attempts": 3, "slack_factor": 2.5, "target_ms": 300`, `"max_attempts": 2147483648, "slack_factor": 0, "target_ms": -1`,
			[]string{`templates[0].pool: "" is not accepted`, "max_attempts: 2147483648 is", "slack_factor: 0 is", "target_ms: -1 is"}},
		{"relative value", `"target_ms": 300`, `"target_ms": 300, "value": 2.5`, nil},
		{"negative value", `"target_ms": 300`, `"target_ms": 300, "value": -1`, []string{"templates[0].value: -1 is not accepted; give 0 to 1000000"}},
		{"large value", `"target_ms": 300`, `"target_ms": 300, "value": 1000001`, []string{"templates[0].value: 1.000001e+06 is not"}},
		{"regions", `"target_ms": 300`, `"target_ms": 300, "regions": ["tainan"]`, nil},
		{"unknown and repeated region", `"target_ms": 300`, `"target_ms": 300, "regions": ["recife", "tainan", "tainan"]`,
			[]string{`templates[0].regions[0]: "recife" is not a region of a data centre; give one of tainan`, `templates[0].regions[2]: "tainan" is listed more than once`}},
		{"no attempts", `"max_attempts": 3`, `"max_attempts": 0`, []string{"max_attempts: 0 is not accepted; give 1 to 2147483647"}},
		{"space in the pool", "pool/A:1", "pool A", []string{`pool: "pool A" is not accepted`}},
		{"long pool", "pool/A:1", strings.Repeat("p", 64), []string{"1 to 63 printable"}},
		{"tasks", `"target_ms": 300`, `"target_ms": 300, "tasks": [{"name": "a", "method": "GET", "path": "/"}]`,
			[]string{`templates[0].tasks: not accepted for kind "leased"`}},
		{"leased fields of a job", `"kind": "job"`, `"kind": "job", "pool": "p", "max_attempts": 1, "slack_factor": 1, "target_ms": 1`,
			[]string{"templates[2].pool: accepted only", "max_attempts: accepted only", "slack_factor: accepted only", "target_ms: accepted only"}},
		{"host with port", "Portal.example", "portal.example:80", []string{"routes[0].host"}},
		{"relative prefix", `"/review"`, `"review"`, []string{`routes[1].prefix: "review" is not accepted`}},
		{"query", `"/review"`, `"/review?a"`, []string{`routes[1].prefix`}},
		{"twice", `"/review"`, `"/"`, []string{"routes[1]: host and prefix are listed more than once"}},
		{"closed", `"template": "steps-2"`, `"closed": true`, nil},
		{"closed with a template", `"template": "steps-2"`, `"template": "steps-2", "closed": true`, []string{"routes[1].template: not accepted for a closed route"}},
		{"neither closed nor a template", `, "template": "steps-2"`, ``, []string{`routes[1].template: "" is not a template`}},
		{"unknown template", `"template": "steps-2"`, `"template": "steps-3"`, []string{`routes[1].template: "steps-3" is not a template`}},
		{"template of another kind", `"template": "steps-2"`, `"template": "proof"`, []string{`routes[1].template: "proof" is of kind "job"`}},
	} {
		_, err := Parse([]byte(strings.Replace(leasedDocument(t), tc.old, tc.replace, 1)))
		all := &Error{}
		qt.Check(t, errors.As(err, &all), qt.Equals, len(tc.want) > 0, qt.Commentf("%s: %v", tc.name, err))
		qt.Check(t, all.Problems, qt.HasLen, len(tc.want), qt.Commentf("%s: %v", tc.name, err))
		for _, want := range tc.want {
			qt.Check(t, err, qt.ErrorMatches, ".*\\Q"+want+"\\E.*")
		}
	}
}

// Guards against routing a request to a template other than that of the longest
// matching prefix of its host.
func TestRoute(t *testing.T) {
	d, err := Parse([]byte(leasedDocument(t)))
	qt.Assert(t, err, qt.IsNil)
	for request, want := range map[[2]string]string{
		{"portal.example", "/"}: "steps", {"PORTAL.example", "/other"}: "steps", {"portal.example", "/review"}: "steps-2",
		{"portal.example", "/review/7"}: "steps-2", {"other.example", "/"}: "", {"portal.example", "review"}: "",
	} {
		r, _, ok := NewView(d).Route(request[0], request[1])
		qt.Check(t, r.Template == want && ok == (want != ""), qt.IsTrue, qt.Commentf("%q: %+v", request, r))
	}
}

// Guards against a route that is not found because its prefix is percent-encoded, as
// it occurs in requests, while the path is compared decoded; against an encoded "/"
// that is taken for a separator; and against a longest prefix that is chosen by the
// length of its encoding.
func TestRouteWithEncodedPrefix(t *testing.T) {
	d := &Document{}
	for template, prefix := range map[string]string{
		"encoded": "/revis%C3%A3o/", "plain": "/não/", "slash": "/a%2Fb/", "percent": "/100%25/", "short": "/%61/", "long": "/a/bc/", "broken": "/x%2/",
	} {
		d.Routes = append(d.Routes, Route{Host: "h", Prefix: prefix, Template: template})
	}
	for path, want := range map[string][2]string{
		"/revis%C3%A3o/7": {"encoded", "7"}, "/revis%c3%a3o/%37": {"encoded", "7"}, "/revisão/7": {"encoded", "7"}, "/revisao/7": {}, "/revis%C3%A3/7": {},
		"/n%C3%A3o/7": {"plain", "7"}, "/a%2fb/7": {"slash", "7"}, "/a/b/7": {"short", "b/7"}, "/a%2Fb%2F7": {},
		"/100%25/7": {"percent", "7"}, "/100%2525/7": {}, "/a/b%63/7": {"long", "7"}, "/%61/7": {"short", "7"}, "/x%2/7": {"broken", "7"},
	} {
		r, rest, _ := NewView(d).Route("h", path)
		qt.Check(t, [2]string{r.Template, rest}, qt.Equals, want, qt.Commentf("%q", path))
	}
}
