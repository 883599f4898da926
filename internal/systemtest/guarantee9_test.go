package systemtest

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/internal/upstreamstub"
)

// probeTemplate is the name of a template whose task has the generation of its
// document as its service time in milliseconds, so that the answer shows the
// generation.
const probeTemplate = "probe"

// publishChange makes a change that callers can observe with probeGeneration, and
// returns its generation.
func (s *system) publishChange() uint64 {
	s.editDocument(func(d *config.Document) {
		t := d.Templates[0]
		t.Name = probeTemplate
		t.Tasks = []config.Task{{Name: "run", Method: http.MethodPost, Path: "/run",
			Body: upstreamstub.Request{ServiceMS: float64(d.Generation)}.Encode()}}
		d.Templates = slices.Concat(initialDocument().Templates, []config.Template{t})
	})
	return s.document.Generation
}

// probeGeneration returns the generation of the document that the entry uses, or 0
// if there was no answer.
func (s *system) probeGeneration(entry int) uint64 {
	req, err := http.NewRequest(http.MethodPost, "http://"+entryHost(entry)+":8000/v1/jobs",
		strings.NewReader(`{"template":"probe","deadline_ms":1000}`))
	s.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := s.client(callerHost).Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var a answer
	var result upstreamstub.Answer
	if json.NewDecoder(resp.Body).Decode(&a) != nil || len(a.Results) == 0 || json.Unmarshal([]byte(a.Results[0].Body), &result) != nil {
		return 0
	}
	return uint64(result.ServiceMS)
}

// Guards against an accepted change that is not in force at every entry after 3 s,
// and against an entry that reverts to an older document afterwards.
func TestAcceptedConfigurationIsInForceAndNeverReverts(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(s *system) uint64
	}{
		{"no fault", func(s *system) uint64 { return s.publishChange() }},
		{"silent watch", func(s *system) uint64 { s.store.SetSilentWatch(true); return s.publishChange() }},
		{"an entry without the store", func(s *system) uint64 { s.entries[0].store.setAccess(storeRefuses); return s.publishChange() }},
		{"an entry whose calls of the store hang", func(s *system) uint64 { s.entries[0].store.setAccess(storeSilent); return s.publishChange() }},
		{"store out afterwards", func(s *system) uint64 {
			g := s.publishChange()
			time.Sleep(1100 * time.Millisecond)
			s.setStoreDown(true)
			return g
		}},
		{"stale reads afterwards", func(s *system) uint64 {
			s.store.SetStale(true)
			time.Sleep(time.Second)
			s.store.SetStale(false)
			return s.publishChange()
		}},
		{"restored to an older state", func(s *system) uint64 {
			g := s.publishChange()
			time.Sleep(2 * time.Second)
			s.store.Put(config.Key, s.originalDocument)
			return g
		}},
		{"restored, then an entry replaced", func(s *system) uint64 {
			g := s.publishChange()
			time.Sleep(2 * time.Second)
			s.store.Put(config.Key, s.originalDocument)
			time.Sleep(2 * time.Second)
			s.restartEntry(0)
			return g
		}},
		{"stale while in force", func(s *system) uint64 {
			s.store.SetStale(true)
			g := s.publishChange()
			time.Sleep(500 * time.Millisecond)
			s.store.SetStale(false)
			return g
		}},
		{"entry started during an outage", func(s *system) uint64 {
			g := s.publishChange()
			time.Sleep(2 * time.Second)
			s.setStoreDown(true)
			s.restartEntry(0)
			return g
		}},
		{"racing operators", func(s *system) uint64 {
			kv, _ := s.store.Peek(config.Key)
			won := 0
			for range 2 { // both operators read the same revision
				next := *s.document
				next.Generation = 2
				data, err := next.Encode()
				s.Assert(err, qt.IsNil)
				if _, err = s.store.CompareAndSwap(context.Background(), config.Key, kv.Revision, data, 0); err == nil {
					won++
				}
			}
			s.Check(won, qt.Equals, 1)
			s.document.Generation = 2
			return s.publishChange()
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			withSystem(t, layout{}, func(s *system) {
				s.publishChange()
				time.Sleep(2 * time.Second)
				g := tc.change(s)
				accepted, highest := time.Now(), []uint64{0, 0}
				for time.Since(accepted) < 12*time.Second {
					for i := range s.entries {
						seen := s.probeGeneration(i)
						s.Check(seen == 0 || seen >= highest[i], qt.IsTrue, qt.Commentf("entry %d reverts from %d to %d", i, highest[i], seen))
						highest[i] = max(highest[i], seen)
						if time.Since(accepted) > enforcedWithin && seen != 0 {
							s.Check(seen, qt.Equals, g, qt.Commentf("entry %d, %s after the change", i, time.Since(accepted)))
						}
					}
					time.Sleep(100 * time.Millisecond)
				}
				s.Check(highest, qt.DeepEquals, []uint64{g, g})
				s.setStoreDown(false)
				time.Sleep(3 * time.Second)
				kv, _ := s.store.Peek(config.Key)
				stored, err := config.Parse(kv.Value)
				s.Check(err, qt.IsNil)
				s.Check(stored.Generation, qt.Equals, g)
			})
		})
	}
}
