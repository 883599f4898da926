package wire

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a process that dials what another wrote under an entry's key.
func TestRegistration(t *testing.T) {
	c := qt.New(t)
	ref := EntryRef{ID: "e1", Incarnation: 1<<63 + 5, Address: "10.0.0.1:7000", Admin: "10.0.0.1:9000", DataCentre: "anping"}
	value, err := EncodeRegistration(ref)
	c.Assert(err, qt.IsNil)
	got, err := ParseRegistration(RegistrationKey("e1"), value)
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.Equals, ref)
	for _, tc := range []struct{ key, value string }{
		{"entries/e2", string(value)},
		{"entries/e1", `{}`},
		{"entries/e1", `{"id":"e1","incarnation":"0","address":"a"}`},
		{"entries/e1", `{"id":"e1","incarnation":"1"}`},
		{"entries/e1", `not JSON`},
	} {
		_, err := ParseRegistration(tc.key, []byte(tc.value))
		c.Check(err, qt.Not(qt.IsNil), qt.Commentf("%s %s", tc.key, tc.value))
	}
}
