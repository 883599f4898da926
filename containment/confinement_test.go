package containment_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/containment"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// Guards against confinement for a single bad task, and against a template that is
// never or too soon free again.
func TestConvictionsConfineForAWhile(t *testing.T) {
	c := containment.NewConfinement(at(-time.Hour))
	c.Convict(at(0), "a")
	c.Convict(at(0), "b")
	qt.Check(t, c.Confined(at(0)), qt.HasLen, 0)
	c.Convict(at(time.Second), "a")
	for range 1000 {
		c.Convict(at(time.Second), "a")
	}
	qt.Check(t, c.Confined(at(containment.Memory)), qt.DeepEquals, []string{"a"})
	qt.Check(t, c.Confined(at(containment.Memory+time.Second)), qt.HasLen, 0)
	qt.Check(t, c.Report(at(containment.Memory+time.Second)).Convictions, qt.HasLen, 0)
}

// Guards against convictions that are forgotten when the process that made them is
// replaced, against a new process that does not know of them, and against processes
// that keep a template confined because each hears it from the other.
func TestPeersShareConvictions(t *testing.T) {
	a, b := containment.NewConfinement(at(-time.Hour)), containment.NewConfinement(at(-time.Hour))
	pa, pb, successor := containment.Peer{Entry: "a", Incarnation: 1}, containment.Peer{Entry: "b", Incarnation: 1}, containment.Peer{Entry: "a", Incarnation: 2}
	a.Convict(at(0), "t")
	b.Convict(at(0), "t")
	b.RecordReport(at(0), pa, a.Report(at(0)))
	qt.Check(t, b.Confined(at(0)), qt.DeepEquals, []string{"t"})

	replaced := containment.NewConfinement(at(time.Second))
	b.RecordReport(at(time.Second), successor, replaced.Report(at(time.Second)))
	qt.Check(t, b.Confined(at(time.Second)), qt.DeepEquals, []string{"t"})
	replaced.RecordReport(at(time.Second), pb, b.Report(at(time.Second)))
	qt.Check(t, replaced.Confined(at(time.Second)), qt.DeepEquals, []string{"t"})
	qt.Check(t, replaced.Report(at(time.Second)).Confined, qt.HasLen, 0) // b's one conviction is not enough

	for now := time.Second; now < 3*containment.Memory; now += time.Second {
		replaced.RecordReport(at(now), pb, b.Report(at(now)))
		b.RecordReport(at(now), successor, replaced.Report(at(now)))
	}
	qt.Check(t, b.Confined(at(3*containment.Memory)), qt.HasLen, 0)
	qt.Check(t, replaced.Confined(at(3*containment.Memory)), qt.HasLen, 0)
}

// Guards against entries that choose different agents, against a share that starves
// the other templates or the confined one, and against confinement of tiny pools.
func TestMembers(t *testing.T) {
	agents := func(n int) (out []string) {
		for i := range n {
			out = append(out, fmt.Sprint("agent-", i*7%n))
		}
		return out
	}
	for _, tc := range []struct {
		agents int
		demand float64
		want   int
	}{
		{0, 0, 0}, {3, 0, 0}, {4, 1, 1}, {11, 0.6, 3}, {11, 5, 3}, {11, 0.2, 8}, {11, 0, 11}, {1000, 0.25, 625}, {1000, 0.9, 300},
	} {
		members := containment.Members("pool", agents(tc.agents), tc.demand)
		qt.Check(t, members, qt.HasLen, tc.want, qt.Commentf("%d agents, demand %v", tc.agents, tc.demand))
		most := containment.Members("pool", agents(tc.agents), 0.2)
		for id := range containment.Members("pool", agents(tc.agents), 1) {
			qt.Check(t, most[id], qt.IsTrue)
		}
	}
	one, other := containment.Members("pool", []string{"a", "b", "c", "d", "e"}, 1), containment.Members("pool", []string{"e", "d", "c", "b", "a"}, 1)
	qt.Check(t, one, qt.DeepEquals, other)
}

// BenchmarkMembers measures the choice of agents, which an entry makes once a second
// for each confined template.
func BenchmarkMembers(b *testing.B) {
	for _, n := range []int{11, 100, 1000, 10000} {
		agents := make([]string, n)
		for i := range agents {
			agents[i] = fmt.Sprint("agent-", i)
		}
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			for b.Loop() {
				containment.Members("pool", agents, 0.6)
			}
		})
	}
}
