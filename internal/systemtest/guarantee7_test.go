package systemtest

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/upstreamstub"
)

// Guards against starts at an upstream more than 3 s after it began to leave, and
// against tasks that fail because it leaves.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	for _, tc := range []struct {
		name    string
		leave   func(s *system)
		allDone bool // no job may fail
	}{
		{"health path", func(s *system) { s.agents[0].upstream.SetFaults(upstreamstub.Faults{Leave: true}) }, true},
		{"planned stop of its agent", func(s *system) {
			s.background.Go(func() { s.Check(s.agents[0].Stop(context.Background()), qt.IsNil) })
		}, true},
		{"silence", func(s *system) { s.net.Freeze(agentHost(0), upstreamHost(0)); s.silenceUpstream(0) }, false},
		{"connections refused", func(s *system) { s.net.Cut(agentHost(0), upstreamHost(0)) }, false},
		{"its agent died", func(s *system) { s.agents[0].kill() }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			withSystem(t, layout{}, func(s *system) {
				s.startLoad(15*time.Second, job{tasks: 3, serviceTime: serviceTime / 2, deadline: 10 * time.Second})
				time.Sleep(3 * time.Second)
				tc.leave(s)
				left := time.Now()
				time.Sleep(15 * time.Second)
				late, before := 0, 0
				for _, st := range s.record.Starts() {
					switch {
					case st.Upstream != "a0":
					case st.At.After(left.Add(enforcedWithin)):
						late++
					case st.At.Before(left):
						before++
					}
				}
				s.Check(late, qt.Equals, 0, qt.Commentf("starts at the leaving upstream"))
				s.Check(before > 0, qt.IsTrue)
				if tc.allDone {
					for _, sub := range s.submissions {
						s.expectOutcome(sub, "done")
					}
				}
				s.expectOutcome(s.submit(0, job{tasks: 8}), "done")
			})
		})
	}
}
