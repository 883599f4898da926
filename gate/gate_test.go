package gate

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"chicorytray.example/chicorytray/wire"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// Guards against a task that starts without a recent confirmation, or while the
// data centre is out of service.
func TestMay(t *testing.T) {
	for _, tc := range []struct {
		name      string
		age       time.Duration // NoAge: never confirmed
		inService bool
		want      wire.Reason
	}{
		{"never confirmed", NoAge, true, wire.ReasonConfigUnconfirmed},
		{"fresh", 0, true, ""},
		{"just inside", 2*time.Second - 1, true, ""},
		{"at the limit", 2 * time.Second, true, wire.ReasonConfigUnconfirmed},
		{"too old", time.Minute, true, wire.ReasonConfigUnconfirmed},
		{"out of service", 0, false, wire.ReasonOutOfService},
		{"too old and out of service", time.Minute, false, wire.ReasonConfigUnconfirmed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			g := New(2 * time.Second)
			if tc.age != NoAge {
				g.Confirm(epoch)
			}
			ok, reason := g.MayStart(epoch.Add(max(0, tc.age)), tc.inService)
			c.Check(reason, qt.Equals, tc.want)
			c.Check(ok, qt.Equals, tc.want == "")
		})
	}
}

// Guards against a confirmation that counts as younger than the entry's read of
// the store, and against an older confirmation replacing a more recent one.
func TestConfirmationCountsDelayAsAge(t *testing.T) {
	c := qt.New(t)
	g := New(2 * time.Second)
	at, ok := ConfirmedAt(epoch, 300*time.Millisecond)
	c.Assert(ok, qt.IsTrue)
	g.Confirm(at)
	g.Confirm(at.Add(-time.Second))
	c.Check(g.Age(epoch.Add(time.Second)), qt.Equals, 1300*time.Millisecond)
	c.Check(g.Expiry(), qt.Equals, epoch.Add(1700*time.Millisecond))
	_, ok = ConfirmedAt(epoch, NoAge)
	c.Check(ok, qt.IsFalse)
}

// Guards against a gate that stays open on the minority side of a network
// partition, or closes during an outage of the store.
func TestEffectiveAge(t *testing.T) {
	type heard = map[string]time.Duration
	three := []string{"a", "b", "c"}
	all := heard{"a": 0, "b": 3, "c": 4}
	old := 10 * time.Second
	for _, tc := range []struct {
		name  string
		o     Observation
		age   time.Duration
		basis Basis
	}{
		{"own read", Observation{StoreReachable: true, OwnAge: 1, OwnDataCentre: "a", MemberDataCentres: three}, 1, BasisOwn},
		{"never confirmed", Observation{OwnAge: NoAge, OwnDataCentre: "a"}, NoAge, BasisNone},
		{"never confirmed in an outage", Observation{OwnAge: NoAge, OwnDataCentre: "a", MemberDataCentres: three, SinceHeard: all}, NoAge, BasisNone},
		{"a peer reads", Observation{OwnAge: old, OwnDataCentre: "a", MemberDataCentres: three, SinceHeard: all,
			Peers: []PeerObservation{{Age: 5, StoreReachable: true}}}, 5, BasisPeer},
		{"a peer reads but is older", Observation{OwnAge: old, OwnDataCentre: "a", MemberDataCentres: three, SinceHeard: all,
			Peers: []PeerObservation{{Age: 2 * old, StoreReachable: true}}}, old, BasisOwn},
		{"an agent heard of a read after the own failure", Observation{OwnAge: old, OwnDataCentre: "a", MemberDataCentres: three, SinceHeard: all,
			FailedAge: time.Second, AgentReadAges: []time.Duration{NoAge, 7}}, old, BasisOwn},
		{"agents heard of reads before the own failure only", Observation{OwnAge: old, OwnDataCentre: "a", MemberDataCentres: three, SinceHeard: all,
			FailedAge: time.Second, AgentReadAges: []time.Duration{NoAge, 2 * time.Second}}, 3, BasisOutage},
		{"another entry may have read since, unreported", Observation{OwnAge: old, OwnDataCentre: "a", MemberDataCentres: three, SinceHeard: all,
			FailedAge: time.Second, ReportLag: 3 * time.Second, AgentReadAges: []time.Duration{NoAge, 2 * time.Second}}, old, BasisOwn},
		{"another entry would have been reported", Observation{OwnAge: old, OwnDataCentre: "a", MemberDataCentres: three, SinceHeard: all,
			FailedAge: time.Second, ReportLag: 3 * time.Second, AgentReadAges: []time.Duration{NoAge, 3 * time.Second}}, 3, BasisOutage},
		{"outage heard from two of three", Observation{OwnAge: old, OwnDataCentre: "a", MemberDataCentres: three, SinceHeard: heard{"b": 9}}, 9, BasisOutage},
		{"outage heard from two of five counts the later of the needed", Observation{OwnAge: old, OwnDataCentre: "a",
			MemberDataCentres: []string{"a", "b", "c", "d", "e"}, SinceHeard: heard{"b": 9, "c": 2, "d": 5}}, 5, BasisOutage},
		{"evidence of an outage is older than the read", Observation{OwnAge: 4, OwnDataCentre: "a", MemberDataCentres: three, SinceHeard: heard{"b": 9}}, 4, BasisOwn},
		{"evidence of an outage as old as the read", Observation{OwnAge: 9, OwnDataCentre: "a", MemberDataCentres: three, SinceHeard: heard{"b": 9}}, 9, BasisOwn},
		{"evidence of an outage as old as a peer's", Observation{OwnAge: old, OwnDataCentre: "a", MemberDataCentres: three, SinceHeard: heard{"b": 9},
			Peers: []PeerObservation{{Age: 9}}}, 9, BasisOutage},
		{"a peer's evidence of an outage is fresher", Observation{OwnAge: old, OwnDataCentre: "a", MemberDataCentres: three, SinceHeard: heard{"b": 9},
			Peers: []PeerObservation{{Age: 8}}}, 8, BasisPeer},
		{"the store answers without a usable read", Observation{StoreAnswers: true, OwnAge: old, OwnDataCentre: "a", MemberDataCentres: three, SinceHeard: heard{"b": 1},
			Peers: []PeerObservation{{Age: 9}}}, 9, BasisPeer},
		{"outage with one data centre", Observation{OwnAge: old, OwnDataCentre: "a"}, 0, BasisOutage},
		{"cut off alone", Observation{OwnAge: old, OwnDataCentre: "a", MemberDataCentres: three}, old, BasisOwn},
		{"exactly half", Observation{OwnAge: old, OwnDataCentre: "a", MemberDataCentres: []string{"a", "b", "c", "d"}, SinceHeard: heard{"b": 0}}, old, BasisOwn},
		{"strangers do not count", Observation{OwnAge: old, OwnDataCentre: "a", MemberDataCentres: three, SinceHeard: heard{"x": 0, "y": 0, "z": 0}}, old, BasisOwn},
		{"the own data centre counts once", Observation{OwnAge: old, OwnDataCentre: "a", MemberDataCentres: three, SinceHeard: heard{"a": 0}}, old, BasisOwn},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			age, basis := EffectiveAge(tc.o)
			c.Check(age, qt.Equals, tc.age)
			c.Check(basis, qt.Equals, tc.basis)
		})
	}
}

// Guards against two sides of a partition that both consider the store
// unavailable.
func TestAtMostOneSideOfAPartitionSeesAnOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 11).Draw(t, "data centres")
		sides := rapid.SliceOfN(rapid.IntRange(0, 2), n, n).Draw(t, "side of each")
		outage := map[int]bool{}
		for i := range n {
			o := Observation{OwnAge: time.Second, OwnDataCentre: string(rune('a' + i)), SinceHeard: map[string]time.Duration{}}
			for j, side := range sides {
				o.MemberDataCentres = append(o.MemberDataCentres, string(rune('a'+j)))
				if side == sides[i] {
					o.SinceHeard[string(rune('a'+j))] = 0
				}
			}
			if _, basis := EffectiveAge(o); basis == BasisOutage {
				outage[sides[i]] = true
			}
		}
		if len(outage) > 1 {
			t.Fatalf("%d sides of the partition see an outage, want at most 1", len(outage))
		}
	})
}
