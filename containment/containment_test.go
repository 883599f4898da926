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
		{[]wire.CrashRole{unc, unc, unc}, []containment.Verdict{probation, probation, giveUp}},
		{[]wire.CrashRole{by, by, by, by}, []containment.Verdict{restart, probation, probation, giveUp}},
	} {
		var h containment.History
		for i, role := range tc.roles {
			qt.Check(t, h.Record(role, false), qt.Equals, tc.want[i], qt.Commentf("crash %d of %v", i, tc.roles))
		}
	}
}

// Guards against a durable job that is failed for a coincidence: one crash more has to
// confirm the suspicion.
func TestVerdictsOnDurableTasks(t *testing.T) {
	var h containment.History
	for i, want := range []containment.Verdict{containment.Probation, containment.Probation, containment.GiveUp} {
		qt.Check(t, h.Record(wire.CrashSuspect, true), qt.Equals, want, qt.Commentf("crash %d", i))
	}
}

// Guards against a sequence of crashes after which a task has three starts after the
// third crash, also if one crash was forgotten.
func TestNoTaskSurvivesItsCrashes(t *testing.T) {
	roles := []wire.CrashRole{wire.CrashBystander, wire.CrashSuspect, wire.CrashUnconfirmed}
	for sequence := range 2 * 3 * 3 * 3 * 3 {
		var h containment.History
		crashes, rest, durable := 0, sequence/2, sequence%2 == 1
		for verdict := containment.Restart; verdict != containment.GiveUp; crashes++ {
			verdict = h.Record(roles[rest%3], durable)
			rest /= 3
		}
		qt.Check(t, crashes >= 2 && crashes <= 4, qt.IsTrue, qt.Commentf("%d: given up after %d crashes", sequence, crashes))
	}
}

func ExampleHistory() {
	var task containment.History
	fmt.Println(task.Record(wire.CrashSuspect, false) == containment.Probation)
	fmt.Println(task.Record(wire.CrashSuspect, false) == containment.GiveUp)
	// Output:
	// true
	// true
}
