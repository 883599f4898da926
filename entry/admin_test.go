package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/store"
)

// newUnstartedEntry returns an entry that was not started.
func newUnstartedEntry(c *qt.C) *Entry {
	s := settings.DefaultEntry()
	s.ID, s.DataCentre = "e1", "anping"
	e, err := New(Options{Settings: s, Store: storestub.New(), Logger: zerolog.Nop()})
	c.Assert(err, qt.IsNil)
	return e
}

// Guards against PUT /v1/config replacing the configuration in force by a
// document that is invalid, too large or older.
func TestPutConfig(t *testing.T) {
	c := qt.New(t)
	e := newUnstartedEntry(c)
	h := e.adminHandler()
	document := func(generation uint64) string {
		d := benchDocument()
		d.Generation = generation
		raw, err := d.Encode()
		c.Assert(err, qt.IsNil)
		return string(raw)
	}
	for _, tc := range []struct {
		name, body string
		status     int
		inForce    uint64
	}{
		{"invalid", "{", http.StatusBadRequest, 0},
		{"too large", strings.Repeat(" ", store.MaxValueBytes+1), http.StatusRequestEntityTooLarge, 0},
		{"first", document(2), http.StatusOK, 2},
		{"older", document(1), http.StatusOK, 2},
		{"newer", document(3), http.StatusOK, 3},
	} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/v1/config", strings.NewReader(tc.body)))
		c.Check(w.Code, qt.Equals, tc.status, qt.Commentf("%s: %s", tc.name, w.Body))
		c.Check(e.config.generation(), qt.Equals, tc.inForce, qt.Commentf("%s", tc.name))
	}
}
