package entry

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/gate"
	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/store"
	"chicorytray.example/chicorytray/wire"
)

func takeOutOfService(name string) func(*config.Document) {
	return func(d *config.Document) {
		for i := range d.DataCentres {
			if d.DataCentres[i].Name == name {
				d.DataCentres[i].InService = false
			}
		}
	}
}

// storedGeneration returns the generation of the configuration in the store.
func (h *harness) storedGeneration() uint64 {
	kv, ok := h.store.Peek(config.Key)
	h.Assert(ok, qt.IsTrue)
	d, err := config.Parse(kv.Value)
	h.Assert(err, qt.IsNil)
	return d.Generation
}

// Guards against starts in a data centre more than 1.1 s after it was taken out
// of service, lost or repeated tasks during the change, and a data centre that
// is not used again within 2 s of its return.
func TestDataCentreOutOfServiceAndBack(t *testing.T) {
	for _, silent := range []bool{false, true} {
		inBubble(t, func(h *harness) {
			e := h.entry(1, "anping", nil)
			h.agent(1, "anping")
			h.agent(2, "chihkan")
			waitForDiscovery()
			h.store.SetSilentWatch(silent)
			got := make(chan *httptest.ResponseRecorder, 1)
			go func() { got <- postJob(e, "proof", "render", 700) }()
			time.Sleep(500 * time.Millisecond)
			changed := time.Now()
			h.storeConfig(2, takeOutOfService("anping"))
			time.Sleep(3 * time.Second)
			h.upstreams.mu.Lock()
			last := h.upstreams.lastStart["anping"]
			h.upstreams.mu.Unlock()
			h.Check(last.Sub(changed) <= 1100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", last.Sub(changed)))
			h.storeConfig(3, nil)
			back := time.Now()
			time.Sleep(2 * time.Second)
			h.upstreams.mu.Lock()
			last = h.upstreams.lastStart["anping"]
			h.upstreams.mu.Unlock()
			h.Check(last.After(back), qt.IsTrue)
			h.checkResults(<-got, "/render", 700)
			h.Check(h.upstreams.totalStarts(), qt.Equals, 700)
			h.Check(h.upstreams.maxStartsOfOneTask(), qt.Equals, 1)
		})
	}
}

// Guards against entries that return to an older generation of the
// configuration when the store is restored from a backup, loses the key, serves
// stale reads, or contains an invalid document.
func TestGenerationNeverGoesBack(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(h *harness)
		kept  uint64 // in the store afterwards
	}{
		{"restored", func(h *harness) {
			b := h.store.Snapshot()
			h.storeConfig(7, takeOutOfService("rende"))
			time.Sleep(2 * time.Second)
			h.store.Restore(b)
		}, 7},
		{"key lost", func(h *harness) {
			h.storeConfig(7, takeOutOfService("rende"))
			time.Sleep(2 * time.Second)
			kv, _ := h.store.Peek(config.Key)
			h.Assert(h.store.Delete(context.Background(), config.Key, kv.Revision), qt.IsNil)
		}, 7},
		{"stale reads", func(h *harness) {
			h.store.SetStale(true)
			h.storeConfig(7, takeOutOfService("rende"))
			time.Sleep(time.Second)
			h.store.SetStale(false)
		}, 7},
		{"invalid document", func(h *harness) {
			h.storeConfig(7, takeOutOfService("rende"))
			time.Sleep(2 * time.Second)
			h.store.Put(config.Key, []byte(`{"generation":8}`))
			time.Sleep(2 * time.Second)
			h.storeConfig(9, takeOutOfService("rende"))
		}, 9},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(h *harness) {
				entries := []*Entry{h.entry(1, "anping", nil), h.entry(2, "chihkan", nil)}
				waitForDiscovery()
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				h.wg.Go(func() {
					highest := map[*Entry]uint64{}
					for ; ctx.Err() == nil; wait.For(ctx, 10*time.Millisecond, nil) {
						for _, e := range entries {
							g := e.config.generation()
							h.Check(g >= highest[e], qt.IsTrue, qt.Commentf("%d after %d", g, highest[e]))
							highest[e] = g
						}
					}
				})
				tc.fault(h)
				time.Sleep(4 * time.Second)
				for _, e := range entries {
					h.Check(e.config.generation(), qt.Equals, tc.kept)
					h.Check(e.State().Configuration.ConfirmationAgeMS < 1100, qt.IsTrue)
				}
				h.Check(h.storedGeneration(), qt.Equals, tc.kept)
			})
		})
	}
}

// Guards against an entry that confirms its configuration although it is cut
// off from the store and from most data centres, and against a store outage
// that stops all work.
func TestConfirmationDuringAnOutage(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(h *harness)
		basis gate.Basis
		fresh bool
	}{
		{"store out", func(h *harness) { h.store.SetDown(true) }, gate.BasisOutage, true},
		{"store out and one data centre lost", func(h *harness) {
			h.store.SetDown(true)
			h.net.Partition("10.0.1.1", "10.0.2.3")
		}, gate.BasisOutage, true},
		{"cut off with the own data centre", func(h *harness) {
			h.store.SetDown(true)
			for _, host := range []string{"10.0.1.2", "10.0.2.2", "10.0.2.3"} {
				h.net.Partition("10.0.1.1", host)
			}
		}, gate.BasisOwn, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(h *harness) {
				e := h.entry(1, "anping", nil)
				h.entry(2, "chihkan", nil)
				for i, dc := range []string{"anping", "chihkan", "rende"} {
					h.agent(i+1, dc, "10.0.1.1:7000", "10.0.1.2:7000")
				}
				waitForDiscovery()
				tc.fault(h)
				time.Sleep(60 * time.Second)
				age, basis := e.confirmation.age(time.Now())
				h.Check(basis, qt.Equals, tc.basis)
				h.Check(age < e.settings.Timing.Gate.AsDuration(), qt.Equals, tc.fresh, qt.Commentf("%v", age))
				if tc.fresh {
					h.checkResults(postJob(e, "proof", "render", 3), "/render", 3)
				}
			})
		})
	}
}

// Guards against an entry that cannot start during a store outage although a
// seed entry has the configuration.
func TestStartFromSeeds(t *testing.T) {
	inBubble(t, func(h *harness) {
		h.entry(1, "anping", nil)
		waitForDiscovery()
		h.store.SetDown(true)
		e := h.entry(2, "chihkan", func(o *Options) { o.Settings.Seeds = []string{"10.0.1.1:7000"} })
		alone := h.entry(3, "rende", nil)
		time.Sleep(3 * time.Second)
		h.Check(e.config.generation(), qt.Equals, uint64(1))
		h.Check(e.Ready(), qt.IsNil)
		h.Check(e.peers.activeEntries(), qt.HasLen, 2)
		h.Check(alone.Ready(), qt.Not(qt.IsNil))
		h.checkProblem(postJob(alone, "proof", "render", 1), OutcomeNotRun)
	})
}

// Guards against a new process that is ready before it can place a task, and
// against one that is never ready because no agent exists.
func TestReadyAfterTheFirstUsableAgent(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.entry(1, "anping", nil)
		alone := h.entry(2, "anping", nil)
		time.Sleep(time.Second)
		h.Check(e.Ready(), qt.ErrorMatches, "no usable agent yet")
		h.agent(1, "anping")
		time.Sleep(100 * time.Millisecond)
		h.Check(e.Ready(), qt.IsNil)
		h.checkResults(postJob(e, "proof", "render", 1), "/render", 1)
		h.Check(alone.Ready(), qt.ErrorMatches, "no usable agent yet")
		time.Sleep(alone.settings.Timing.Lapse.AsDuration())
		h.Check(alone.Ready(), qt.IsNil)
	})
}

// Guards against a pushed configuration that does not reach the other entries
// and the agents, and against a pushed document that takes effect although it
// is older or invalid.
func TestPushedConfiguration(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.entry(1, "anping", nil)
		other := h.entry(2, "chihkan", nil)
		a := h.agent(1, "anping")
		waitForDiscovery()
		h.store.SetDown(true)
		push := func(generation uint64) uint64 {
			d := testDocument(generation)
			takeOutOfService("rende")(d)
			raw, err := d.Encode()
			h.Assert(err, qt.IsNil)
			var reply wire.PushConfigReply
			h.Assert(e.rpcPushConfig(context.Background(), &wire.PushConfigRequest{Document: raw}, &reply), qt.IsNil)
			return reply.Generation
		}
		h.Check(push(5), qt.Equals, uint64(5))
		h.Check(push(4), qt.Equals, uint64(5))
		h.Check(e.rpcPushConfig(context.Background(), &wire.PushConfigRequest{Document: []byte("{}")}, &wire.PushConfigReply{}), qt.Not(qt.IsNil))
		time.Sleep(3 * time.Second) // the bound within which a configuration is in force everywhere
		h.Check(other.config.generation(), qt.Equals, uint64(5))
		a.mu.Lock()
		defer a.mu.Unlock()
		h.Check(a.config, qt.DeepEquals, wire.AgentConfig{Generation: 5, InService: []string{"anping", "chihkan"}})
	})
}

// Guards against an entry that does not register again after its lease has
// expired during a store outage.
func TestRegistrationReturnsAfterItsLeaseExpired(t *testing.T) {
	inBubble(t, func(h *harness) {
		h.entry(1, "anping", nil)
		waitForDiscovery()
		_, ok := h.store.Peek(store.EntriesPrefix + "e1")
		h.Check(ok, qt.IsTrue)
		h.store.SetDown(true)
		time.Sleep(time.Minute)
		h.store.ExpireLeases()
		h.store.SetDown(false)
		time.Sleep(5 * time.Second)
		_, ok = h.store.Peek(store.EntriesPrefix + "e1")
		h.Check(ok, qt.IsTrue)
	})
}

// Guards against an entry that knows no other one for seconds after an outage of the
// store in which it started, because it lists the entries only when its backoff ends.
func TestEndOfAnOutageEndsTheWaitForOtherEntries(t *testing.T) {
	inBubble(t, func(h *harness) {
		h.entry(1, "anping", nil)
		waitForDiscovery()
		h.store.SetDown(true)
		var started []*Entry
		for i := 2; i <= 5; i++ {
			started = append(started, h.entry(i, "anping", nil))
		}
		time.Sleep(5 * time.Second)
		h.store.SetDown(false)
		time.Sleep(started[0].settings.Timing.ConfigRead.AsDuration() + backoffBase)
		for _, e := range started {
			h.Check(e.peers.count() > 0, qt.IsTrue, qt.Commentf("%s", e.self.ID))
		}
	})
}

// Guards against a planned stop that loses an accepted job, accepts jobs after
// the stop notice, or does not remove the registration.
func TestPlannedStop(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.entry(1, "anping", nil)
		// Both jobs run at once, which takes the slots of two agents.
		h.agent(1, "anping").setScript(sameScript(script{duration: 8 * time.Second}))
		h.agent(2, "anping").setScript(sameScript(script{duration: 8 * time.Second}))
		waitForDiscovery()
		got := make(chan *httptest.ResponseRecorder, 2)
		go func() { got <- postJob(e, "proof", "render", 3) }()
		time.Sleep(time.Second)
		stopped := make(chan error, 1)
		go func() { stopped <- e.Stop(context.Background()) }()
		time.Sleep(time.Second)
		h.Check(e.Ready(), qt.ErrorMatches, "stopping")
		go func() { got <- postJob(e, "proof", "render", 3) }() // within the notice time
		time.Sleep(5 * time.Second)
		h.checkProblem(postJob(e, "proof", "render", 3), OutcomeNotRun)
		h.checkResults(<-got, "/render", 3)
		h.checkResults(<-got, "/render", 3)
		h.Check(<-stopped, qt.IsNil)
		_, ok := h.store.Peek(store.EntriesPrefix + "e1")
		h.Check(ok, qt.IsFalse)
	})
}

// Guards against a change that is seen late because it follows the restore of the
// store to an older document, and is lost in the next restore. Found by
// TestRandomSchedules of internal/systemtest, seed 1005.
func TestChangeAfterAWriteBackIsSeenAtOnce(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.entry(1, "anping", nil)
		waitForDiscovery() // reads are made at full seconds
		time.Sleep(100 * time.Millisecond)
		h.storeConfig(5, nil)
		time.Sleep(100 * time.Millisecond)
		h.storeConfig(1, nil)
		time.Sleep(writeBackJitter + 2*backoffBase)
		h.Assert(h.storedGeneration(), qt.Equals, uint64(5))
		h.storeConfig(6, nil)
		time.Sleep(time.Millisecond)
		h.storeConfig(1, nil)
		time.Sleep(writeBackJitter + 2*backoffBase)
		h.Check(e.config.generation(), qt.Equals, uint64(6))
		h.Check(h.storedGeneration(), qt.Equals, uint64(6))
	})
}

// hangingStore is a store whose reads get no answer while hangs is set. It records
// when verifications were sent, of which each read makes one.
type hangingStore struct {
	*storestub.Stub
	mu       sync.Mutex
	hangs    bool
	verified []time.Time
}

// waitForAnswer waits until ctx ends if the store hangs.
func (s *hangingStore) waitForAnswer(ctx context.Context) error {
	s.mu.Lock()
	hangs := s.hangs
	s.mu.Unlock()
	if !hangs {
		return nil
	}
	<-ctx.Done()
	return store.ErrUnavailable
}

func (s *hangingStore) Get(ctx context.Context, key string) (store.KV, error) {
	if err := s.waitForAnswer(ctx); err != nil {
		return store.KV{}, err
	}
	return s.Stub.Get(ctx, key)
}

func (s *hangingStore) Verify(ctx context.Context, key string, revision uint64) error {
	s.mu.Lock()
	s.verified = append(s.verified, time.Now())
	s.mu.Unlock()
	if err := s.waitForAnswer(ctx); err != nil {
		return err
	}
	return s.Stub.Verify(ctx, key, revision)
}

// Guards against a change that takes effect late after an outage, because reads
// that get no answer are further apart than others.
func TestReadsWithoutAnswersKeepTheirInterval(t *testing.T) {
	inBubble(t, func(h *harness) {
		s := &hangingStore{Stub: h.store}
		e := h.entry(1, "anping", func(o *Options) { o.Store = s })
		waitForDiscovery()
		s.mu.Lock()
		s.hangs, s.verified = true, nil
		s.mu.Unlock()
		time.Sleep(time.Minute)
		s.mu.Lock()
		defer s.mu.Unlock()
		h.Assert(len(s.verified) > 1, qt.IsTrue)
		for i, sent := range s.verified[1:] {
			apart := sent.Sub(s.verified[i])
			h.Check(apart <= e.settings.Timing.ConfigRead.AsDuration()+backoffBase, qt.IsTrue, qt.Commentf("reads %s apart", apart))
		}
	})
}
