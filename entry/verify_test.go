package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/gate"
	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/store"
)

// storeVariant is the stand-in of the store with a choice of linearizable
// reads, and with a fault in which reads of old states succeed but
// verifications do not.
type storeVariant struct {
	store.Store
	linearizable bool
	readsOnly    atomic.Bool
}

func (s *storeVariant) Linearizable() bool { return s.linearizable }

func (s *storeVariant) Verify(ctx context.Context, key string, revision uint64) error {
	if s.readsOnly.Load() {
		<-ctx.Done()
		return store.ErrUnavailable
	}
	return s.Store.Verify(ctx, key, revision)
}

// maxConfirmationAge returns the highest confirmation age of the entry during
// the next d.
func maxConfirmationAge(e *Entry, d time.Duration) (most time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		age, _ := e.confirmation.age(time.Now())
		most = max(most, age)
	}
	return most
}

// Guards against stale reads that confirm a replaced configuration or make the
// store seem unreachable; against a delayed confirmation after each change; and
// against a store that counts as reachable because stale reads succeed.
func TestVerifiedReadsConfirm(t *testing.T) {
	for _, tc := range []struct {
		name        string
		fault       func(h *harness, s *storeVariant)
		least, most time.Duration // bounds of the highest age in the 5 s after the fault
		basis       gate.Basis    // at the end of these 5 s
	}{
		{"no fault", func(*harness, *storeVariant) {}, 0, 1010 * time.Millisecond, gate.BasisOwn},
		{"a change between two reads", func(h *harness, _ *storeVariant) {
			h.store.SetSilentWatch(true)
			time.Sleep(500 * time.Millisecond)
			h.storeConfig(2, takeOutOfService("rende"))
		}, 0, 1010 * time.Millisecond, gate.BasisOwn},
		{"stale reads hide a change", func(h *harness, _ *storeVariant) {
			h.store.SetStale(true)
			h.storeConfig(2, takeOutOfService("rende"))
		}, 4900 * time.Millisecond, 6010 * time.Millisecond, gate.BasisOwn},
		{"only reads are carried out", func(_ *harness, s *storeVariant) { s.readsOnly.Store(true) },
			0, 2010 * time.Millisecond, gate.BasisOutage},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(h *harness) {
				s := &storeVariant{Store: h.store}
				e := h.entry(1, "anping", func(o *Options) { o.Store = s })
				waitForDiscovery()
				tc.fault(h, s)
				most := maxConfirmationAge(e, 5*time.Second)
				h.Check(most >= tc.least && most <= tc.most, qt.IsTrue, qt.Commentf("%v", most))
				_, basis := e.confirmation.age(time.Now())
				h.Check(basis, qt.Equals, tc.basis)
				h.store.SetStale(false)
				s.readsOnly.Store(false)
				time.Sleep(2100 * time.Millisecond) // time for a call that hangs and the wait after it
				age, basis := e.confirmation.age(time.Now())
				h.Check(age <= 1010*time.Millisecond, qt.IsTrue, qt.Commentf("%v", age))
				h.Check(basis, qt.Equals, gate.BasisOwn)
				h.Check(e.config.generation(), qt.Equals, h.storedGeneration())
			})
		})
	}
}

// Guards against more verifications than one a second, and against any
// verification if the reads of the store are linearizable.
func TestVerificationsCost(t *testing.T) {
	for linearizable, want := range map[bool]int{true: 0, false: 60} {
		inBubble(t, func(h *harness) {
			h.entry(1, "anping", func(o *Options) { o.Store = &storeVariant{Store: h.store, linearizable: linearizable} })
			time.Sleep(time.Minute - time.Millisecond)
			n := h.store.Calls()[storestub.Verify]
			// The first read and its verification are repeated unless the watch
			// has returned the revision before.
			h.Check(n == want || n == want+1 && !linearizable, qt.IsTrue, qt.Commentf("%v", h.store.Calls()))
		})
	}
}
