package config

import (
	"errors"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func sample(t testing.TB) []byte {
	t.Helper()
	data, err := os.ReadFile("testdata/valid.json")
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against accepting an invalid document, and against reporting only some
// of its problems, so that an operator would have to fix one after the other.
func TestParseReportsEveryProblem(t *testing.T) {
	cases := []struct {
		name         string
		old, replace string
		want         []string
	}{
		{"unknown field", `"urgency": 0`, `"urgent": 0`, []string{"templates[0].urgent: unknown field; accepted here: account,"}},
		{"wrong case", `"generation"`, `"Generation"`, []string{"Generation: unknown field"}},
		{"repeated field", `"generation": 3`, `"generation": 3, "generation": 4`, []string{"generation: given more than once"}},
		{"wrong type reported once", `"deadline_ms": 2000`, `"deadline_ms": "2s"`, []string{`templates[0].deadline_ms: "2s" is not accepted; give a whole number`}},
		{"fraction", `"urgency": 0`, `"urgency": 0.5`, []string{"templates[0].urgency: 0.5 is not accepted; give a whole number"}},
		{"null", `"in_service": true`, `"in_service": null`, []string{"data_centres[0].in_service: null is not accepted"}},
		{"syntax", `"generation": 3,`, `"generation": 3`, []string{"not valid JSON at line 3, column"}},
		{"trailing data", `"limits": {}`, `"limits": {}} {`, []string{"not valid JSON"}},
		{"generation too high", `"generation": 3`, `"generation": 9007199254740992`, []string{"generation: 9007199254740992 is not accepted"}},
		{"unknown data centre", `"data_centres": ["anping"]`, `"data_centres": ["tainan", "anping", "anping"]`,
			[]string{`templates[0].data_centres[0]: "tainan" is not a data centre; give one of annan, anping`, `templates[0].data_centres[2]: "anping" is listed more than once`}},
		{"delay to itself and negative", `"annan": 0.5`, `"anping": -1`, []string{"delays_ms.anping: is the data centre itself", "delays_ms.anping: -1 is not accepted; give 0 to 10000"}},
		{"token hash", `"token_sha256": ["`, `"token_sha256": ["secret", "`, []string{`accounts[0].token_sha256[0]: "secret" is not accepted; give 64 lower-case`}},
		{"shared token", `"max_running_tasks": 40}`, `"max_running_tasks": 40}, {"name": "office", "token_sha256": ["` + HashToken("proof-token") + `"]}`,
			[]string{"accounts[1].token_sha256[0]: is listed more than once"}},
		{"unknown account", `"account": "bureau"`, `"account": "office"`, []string{`templates[0].account: "office" is not an account; give one of bureau`}},
		{"kind", `"kind": "job"`, `"kind": "batch"`, []string{`templates[0].kind: "batch" is not accepted; give "job", "request" or "leased"`}},
		{"request with tasks", `"kind": "job"`, `"kind": "request"`, []string{"templates[0].tasks: not accepted for kind"}},
		{"task fields", `"method": "POST", "path": "/proof"`, `"method": "post", "path": "//host/proof"`,
			[]string{`tasks[0].method: "post" is not accepted; give one of DELETE, GET`, `tasks[0].path: "//host/proof" is not accepted`}},
		{"reserved header", `"X-Line": "1"`, `"Chicorytray-Task": "1", "a b": "c", "X": "a\nb"`,
			[]string{"header.Chicorytray-Task: is set by the system", "header.a b: is not an HTTP header name", "header.X: has control characters"}},
		{"repeated name", `"name": "lettering"`, `"name": "proof"`, []string{`templates[1].name: "proof" is used more than once`}},
		{"name of a host", `"name": "annan"`, `"name": "Annan.example"`, []string{`data_centres[1].name: "Annan.example" is not accepted`, "delays_ms.annan: unknown data centre"}},
		{"too many tasks", `"limits": {}`, `"limits": {"max_tasks_per_job": -1}`, []string{"limits.max_tasks_per_job: -1 is not accepted", "templates[0].tasks: 1 tasks; give 1 to -1"}},
		{"expected over deadline", `"expected_ms": 300`, `"expected_ms": 3000`, []string{"templates[0].expected_ms: 3000 is not accepted"}},
		{"not UTF-8", `"X-Line": "1"`, "\"X-Line\": \"\xff\"", []string{"not valid UTF-8"}},
		{"empty", "", "", []string{"data_centres: empty"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			text := strings.Replace(string(sample(t)), test.old, test.replace, 1)
			if test.old == "" {
				text = "{}"
			}
			_, err := Parse([]byte(text))
			var all *Error
			c.Assert(errors.As(err, &all), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(all.Problems, qt.HasLen, len(test.want), qt.Commentf("%v", err))
			for _, want := range test.want {
				c.Check(err.Error(), qt.Contains, want)
			}
		})
	}
}

// Guards against accepting a document that messages do not carry, and against
// writing one that is larger than a value that the key-value service holds.
func TestSizeLimit(t *testing.T) {
	c := qt.New(t)
	want := ".*at most 8388608 are accepted between processes and 1048576 as a value of the key-value service"
	_, err := Parse(make([]byte, MaxDocumentBytes+1))
	c.Check(err, qt.ErrorMatches, want)
	d, err := Parse(sample(t))
	c.Assert(err, qt.IsNil)
	d.Templates[0].Tasks[0].Body = strings.Repeat("x", MaxValueBytes)
	_, err = d.EncodeValue()
	c.Check(err, qt.ErrorMatches, want)
	data, err := d.Encode()
	c.Assert(err, qt.IsNil)
	again, err := Parse(data)
	c.Assert(err, qt.IsNil)
	c.Check(again.Equal(d), qt.IsTrue)
	d.Templates[0].Tasks[0].Body = strings.Repeat("x", MaxDocumentBytes)
	_, err = d.Encode()
	c.Check(err, qt.ErrorMatches, want)
}

// Guards against replacing a configuration by an older one, and against two
// different documents of one generation that are not noticed.
func TestGenerations(t *testing.T) {
	c := qt.New(t)
	d, err := Parse(sample(t))
	c.Assert(err, qt.IsNil)
	next, err := d.Successor(d)
	c.Assert(err, qt.IsNil)
	c.Check(next.Generation, qt.Equals, uint64(4))
	c.Check(next.WriteID, qt.Not(qt.Equals), d.WriteID)
	c.Check(next.Equal(d), qt.IsFalse)
	c.Check(next.EqualContent(d), qt.IsTrue)
	c.Check(next.Supersedes(d), qt.IsTrue)
	c.Check(next.Supersedes(nil), qt.IsTrue)
	c.Check(d.Supersedes(next), qt.IsFalse)
	c.Check(d.Supersedes(d), qt.IsFalse)
	c.Check((&Document{}).Supersedes(nil), qt.IsFalse)
	c.Check(next.Diverges(d), qt.IsFalse)

	other := *next
	other.Limits.MaxTasksPerJob = 7
	c.Check(next.Diverges(&other), qt.IsTrue)

	first, err := d.Successor(nil)
	c.Assert(err, qt.IsNil)
	c.Check(first.Generation, qt.Equals, uint64(1))
	_, err = d.Successor(&Document{Generation: MaxGeneration})
	c.Check(err, qt.ErrorIs, ErrGenerationExhausted)
}

// Guards against wrong lookups, by which tasks would be accepted for another
// account, started in a data centre that is unknown or out of service, or placed
// by a wrong distance.
func TestView(t *testing.T) {
	c := qt.New(t)
	d, err := Parse(sample(t))
	c.Assert(err, qt.IsNil)
	v := NewView(d)

	a, ok := v.Account(HashToken("proof-token"))
	c.Assert(ok, qt.IsTrue)
	c.Check(a.Name, qt.Equals, "bureau")
	_, ok = v.Account("proof-token")
	c.Check(ok, qt.IsFalse)
	_, ok = v.AccountNamed("bureau")
	c.Check(ok, qt.IsTrue)

	tpl, ok := v.Template("proof")
	c.Assert(ok, qt.IsTrue)
	c.Check(tpl.Kind, qt.Equals, KindJob)
	task, ok := v.Task("proof", "render")
	c.Assert(ok, qt.IsTrue)
	c.Check(task.Path, qt.Equals, "/proof")
	_, ok = v.Task("lettering", "render")
	c.Check(ok, qt.IsFalse)

	c.Check(v.OutOfService(), qt.DeepEquals, []string{"annan"})
	c.Check(v.AgentConfig().Generation, qt.Equals, uint64(3))
	// A data centre that was removed from the document must not count as in
	// service, so that agents there start no tasks.
	c.Check(slices.Contains(v.AgentConfig().InService, "annan"), qt.IsFalse)
	c.Check(slices.Contains(v.AgentConfig().InService, "anping"), qt.IsTrue)
	c.Check(slices.Contains(v.AgentConfig().InService, "unlisted"), qt.IsFalse)
	c.Check(v.InService("anping"), qt.IsTrue)
	c.Check(v.InService("annan"), qt.IsFalse)
	c.Check(v.InService("unlisted"), qt.IsFalse)
	c.Check(v.Distance("anping", "anping"), qt.Equals, time.Duration(0))
	c.Check(v.Distance("anping", "annan"), qt.Equals, 500*time.Microsecond)
	c.Check(v.Distance("annan", "anping"), qt.Equals, 500*time.Microsecond)
	c.Check(v.Distance("anping", "unlisted"), qt.Equals, DefaultDistance)

	c.Check(d.Limits.TaskLimitPerJob(), qt.Equals, DefaultMaxTasksPerJob)
	c.Check(d.Limits.QueuedTaskLimit(), qt.Equals, DefaultMaxQueuedTasks)
}

// Guards against a document that Parse accepts and that differs after it was
// encoded and parsed again, and against a panic on any input.
func FuzzParse(f *testing.F) {
	f.Add(sample(f))
	f.Add([]byte(`{}`))
	f.Add([]byte(`{"data_centres":[{"name":"a","region":"r","delays_ms":{"a":1e999}}]}`))
	f.Add([]byte(`{"data_centres":[{"name":"a","region":"r"}],"templates":[null,{"tasks":[{}]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Parse(data)
		if err != nil {
			if d != nil || err.Error() == "" {
				t.Fatalf("document %v with error %q", d, err)
			}
			return
		}
		encoded, err := d.Encode()
		if err != nil {
			return // too large: escaping a character may take more bytes than the input has
		}
		again, err := Parse(encoded)
		if err != nil {
			t.Fatalf("encoded document is refused: %v\n%s", err, encoded)
		}
		if !again.Equal(d) {
			t.Fatalf("document changed:\n%s\n%+v", encoded, again)
		}
		NewView(d)
	})
}
