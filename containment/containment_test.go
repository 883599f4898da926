package containment_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/containment"
	"chicorytray.example/chicorytray/wire"
)

// Guards against a crashing task that is started too often, and against a bystander
// that is put on probation or given up for the crashes of another task.
func TestVerdicts(t *testing.T) {
	const none, by, sus, unc = wire.CrashNone, wire.CrashBystander, wire.CrashSuspect, wire.CrashUnconfirmed
	const restart, probation, giveUp = containment.Restart, containment.Probation, containment.GiveUp
	for _, tc := range []struct {
		roles []wire.CrashRole
		want  []containment.Verdict
	}{
		{[]wire.CrashRole{none, none, none}, []containment.Verdict{restart, restart, restart}},
		{[]wire.CrashRole{sus, sus}, []containment.Verdict{probation, giveUp}},
		{[]wire.CrashRole{sus, none, sus}, []containment.Verdict{probation, probation, giveUp}},
		{[]wire.CrashRole{by, sus, by}, []containment.Verdict{restart, probation, giveUp}},
		{[]wire.CrashRole{by, by, sus}, []containment.Verdict{restart, probation, giveUp}},
		{[]wire.CrashRole{unc, sus, sus}, []containment.Verdict{probation, probation, giveUp}},
		{[]wire.CrashRole{sus, unc, sus}, []containment.Verdict{probation, probation, giveUp}},
		{[]wire.CrashRole{sus, unc, unc, unc}, []containment.Verdict{probation, probation, probation, giveUp}},
		{[]wire.CrashRole{by, by, by, by}, []containment.Verdict{restart, probation, probation, giveUp}},
	} {
		var h containment.History
		for i, role := range tc.roles {
			qt.Check(t, h.Record(role), qt.Equals, tc.want[i], qt.Commentf("crash %d of %v", i, tc.roles))
		}
	}
}

// Guards against a crash that still counts after it was taken back, and against one that
// takes away the count of another.
func TestRetract(t *testing.T) {
	roles := []wire.CrashRole{wire.CrashBystander, wire.CrashSuspect, wire.CrashUnconfirmed, wire.CrashNone}
	for _, kept := range roles {
		for _, retracted := range roles {
			var h, want containment.History
			h.Record(kept)
			want.Record(kept)
			h.Record(retracted)
			h.Retract(retracted)
			qt.Check(t, h, qt.Equals, want, qt.Commentf("%v, and %v taken back", kept, retracted))
		}
	}
	var none containment.History
	none.Retract(wire.CrashSuspect)
	qt.Check(t, none, qt.Equals, containment.History{})
}

// Guards against a sequence of crashes after which a task has three starts after the
// third crash, also if one crash was forgotten.
func TestNoTaskSurvivesItsCrashes(t *testing.T) {
	roles := []wire.CrashRole{wire.CrashBystander, wire.CrashSuspect, wire.CrashUnconfirmed}
	for sequence := range 3 * 3 * 3 * 3 {
		var h containment.History
		crashes, rest := 0, sequence
		for verdict := containment.Restart; verdict != containment.GiveUp; crashes++ {
			verdict = h.Record(roles[rest%3])
			rest /= 3
		}
		qt.Check(t, crashes >= 2 && crashes <= 4, qt.IsTrue, qt.Commentf("%d: given up after %d crashes", sequence, crashes))
	}
}

func ExampleHistory() {
	var task containment.History
	fmt.Println(task.Record(wire.CrashSuspect) == containment.Probation)
	fmt.Println(task.Record(wire.CrashSuspect) == containment.GiveUp)
	// Output:
	// true
	// true
}
