package leasemodel

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a design that allows concurrent runs although all rules are in
// force. The test searches every reachable state with at most two faults of any
// kind, on the assumption that orders that were void stay void when the worker
// restarts.
func TestNoOverlapWithTwoFaults(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	r := Check(Config{Bounds: Scaled(), Faults: 2})
	c.Assert(r.Violation, qt.Equals, "", qt.Commentf("%v", r))
	c.Assert(r.Complete, qt.IsTrue)
	c.Log(r)
}

// Guards against a rule that has no effect in the model, and against a model with
// too few faults to need it: the search with all rules would then not show that
// an implementation needs the rule.
func TestEachRuleIsNeeded(t *testing.T) {
	t.Parallel()
	needed := []struct {
		rule      Rule
		violation violation
		faults    []FaultKind
	}{
		{LapseFromSending, overlap, []FaultKind{RenewalDelayed, EntryDies}},
		{NoRenewalInDoubt, overlap, []FaultKind{LinkDown}},
		{ReconcileTime, overlap, []FaultKind{AgentDies}},
		{WorkerLease, overlap, []FaultKind{AgentDies}},
		{OrderValidity, overlap, []FaultKind{StartDelayed}},
		{RunNumbers, overlap, []FaultKind{LinkDown, StartDelayed}},
		{FencingTokens, fencedStart, []FaultKind{StartDelayed, AgentDies}},
		{EndProved, overlap, []FaultKind{LinkDown}},
		{Adoption, overlap, []FaultKind{AgentDies}},
		{CancelOnLeave, overlap, []FaultKind{CallerLeaves}},
		{Settling, overlap, []FaultKind{CallerLeaves, EntryPauses}},
		{ResendInterval, overlap, []FaultKind{EntryDies}},
		{CancelBeforeRenew, overlap, []FaultKind{CallerLeaves, LinkDown, AgentDies}},
		{StopBeforeExtend, overlap, []FaultKind{EntryDies, OrdersDown}},
		{CheckBeforeExtend, overlap, []FaultKind{EntryDies, AgentPauses, AgentDies}},
		{CheckBeforeStart, overlap, []FaultKind{AgentPauses}},
		{OpenKeepsLapse, overlap, []FaultKind{LinkDown, OpenReplyLost}},
		{CancelBeforeRun, overlap, []FaultKind{RunDelayed, CallerLeaves}},
		{SettleBeforeRenew, overlap, []FaultKind{CallerLeaves, EntryPauses, EntryDies}},
		{CountsSuspension, overlap, []FaultKind{AgentPauses}},
		{BirthInLists, overlap, []FaultKind{StartDelayed, WorkerRestarts}},
		{ClockBound, overlap, []FaultKind{WorkerRestarts, EntryDies, OrdersDown}},
		{CarryOver, overlap, []FaultKind{StartDelayed, WorkerRestarts}},
		{TokenPerLife, overlap, []FaultKind{StartDelayed, WorkerRestarts}},
		{ExpiryOfListed, overlap, []FaultKind{StartDelayed, WorkerRestarts}},
		{RefusalNoProof, overlap, []FaultKind{RefusedByLink}},
		{BreakNoProof, overlap, []FaultKind{BrokenByLink}},
		{AnnouncementHint, overlap, []FaultKind{StaleAnnounced}},
		{CheckCaller, overlap, []FaultKind{UnreadEnds}},
		{StopBeforeStart, overlap, []FaultKind{EntryDies, OrdersDown}},
		{CancelUntracked, overlap, []FaultKind{FormerHeard}},
	}
	qt.Assert(t, needed, qt.HasLen, len(Rules()))
	for _, n := range needed {
		t.Run(n.rule.String(), func(t *testing.T) {
			c := Config{Bounds: Scaled(), Faults: int8(len(n.faults)), FaultKinds: n.faults}
			if n.rule == ClockBound {
				// With longer leases this breach occurs with the rule as well; see
				// TestKnownBreachesAfterWorkerRestart.
				c.LeaseMax = c.Lapse + c.Check + 1
			}
			r := Check(c.Without(n.rule))
			qt.Assert(t, r.Violation, qt.Equals, n.violation.String(), qt.Commentf("without the rule: %v", r))
			t.Log(r)
		})
	}
}

// Guards against a model that does not notice a setting that is shorter than the
// argument of section 13.3 allows.
func TestBoundsAreNeeded(t *testing.T) {
	t.Parallel()
	for _, n := range []struct {
		name   string
		faults []FaultKind
		change func(*Bounds)
	}{
		// One S of the sum is a reserve, so that only two ticks less are too short.
		{"reconcile", []FaultKind{LinkDown, AgentDies}, func(b *Bounds) { b.Reconcile = b.Sum() - b.Stop - 1 }},
		{"resend", []FaultKind{EntryDies, AgentDies}, func(b *Bounds) { b.Resend = b.Sum() - b.Stop - 1 }},
		{"notice", []FaultKind{CallerLeaves, EntryDies, AgentDies}, func(b *Bounds) { b.Notice = b.Stop + 1 }},
		{"settling after pauses longer than L only", []FaultKind{CallerLeaves, EntryPauses, EntryPauses}, func(b *Bounds) { b.LongPause = b.Lapse }},
	} {
		t.Run(n.name, func(t *testing.T) {
			b := Scaled()
			n.change(&b)
			r := Check(Config{Bounds: b, Faults: int8(len(n.faults)), FaultKinds: n.faults})
			qt.Assert(t, r.Violation, qt.Equals, overlap.String(), qt.Commentf("%v", r))
			t.Log(r)
		})
	}
}

// Guards against concurrent runs of a task that an entry restarts at another
// worker, also when the stop is not answered or the agent dies meanwhile. The
// second check guards against a model whose restarts would not show them.
func TestRestartsDoNotOverlap(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	with := Config{Bounds: Scaled(), Faults: 3, FaultKinds: []FaultKind{TaskRestarted, OrdersDown, AgentDies}}
	r := Check(with)
	c.Assert(r.Violation, qt.Equals, "", qt.Commentf("%v", r))
	c.Assert(r.Complete, qt.IsTrue)
	c.Log(r)
	with.Faults, with.FaultKinds = 1, []FaultKind{TaskRestarted}
	r = Check(with.Without(EndProved))
	c.Assert(r.Violation, qt.Equals, overlap.String(), qt.Commentf("without proof of the end: %v", r))
}

// Guards against a description of the rules that hides what they do not prevent:
// concurrent runs through a worker that has restarted under its identifier. Each
// case is a breach with all rules in force; docs/decisions/run-overlap.md explains
// them. A rule or bound that closes one has to change its case here. A first look at
// the next life that comes before late orders closes those in which the agent lives.
// Connections of one life and orders that end with their process close all of them
// together; the fields say what each of the two closes alone.
func TestKnownBreachesAfterWorkerRestart(t *testing.T) {
	t.Parallel()
	for _, n := range []struct {
		name                string
		revive              bool
		closedByLook        bool
		closedByOrdersEnd   bool
		closedByConnections bool
		faults              []FaultKind
	}{
		{"void order executed by the next life", true, true, true, false, []FaultKind{StartDelayed, WorkerRestarts}},
		{"stopped order executed by the next life", true, true, true, false, []FaultKind{StartDelayed, WorkerRestarts, TaskRestarted}},
		{"order executed after the resend interval", false, true, false, false, []FaultKind{StartDelayed, WorkerRestarts, CallerLeaves}},
		{"order executed after the reconcile time", false, false, false, false, []FaultKind{StartDelayed, WorkerRestarts, AgentDies}},
		{"order to an unknown life, agent dies", false, false, false, true, []FaultKind{WorkerRestarts, EntryDies, AgentDies}},
		{"order to an unknown life, stop unanswered", false, false, false, true, []FaultKind{WorkerRestarts, EntryDies, OrdersDown}},
	} {
		t.Run(n.name, func(t *testing.T) {
			t.Parallel()
			check := func(closed bool, change func(*Config), name string) {
				c := Config{Bounds: Scaled(), Faults: int8(len(n.faults)), FaultKinds: n.faults, VoidRevive: n.revive}
				change(&c)
				r := Check(c)
				qt.Assert(t, r.Violation == "", qt.Equals, closed, qt.Commentf("%s: %v", name, r))
				qt.Assert(t, r.Violation == overlap.String(), qt.Equals, !closed)
				qt.Assert(t, r.Complete, qt.Equals, closed)
				t.Log(name, r)
			}
			check(false, func(*Config) {}, "all rules")
			check(n.closedByLook, func(c *Config) { c.LookFirst = true }, "a look before late orders")
			check(n.closedByOrdersEnd, func(c *Config) { c.OrdersEnd = true }, "orders end with their process")
			check(n.closedByConnections, func(c *Config) { c.LifeConnections = true }, "connections of one life")
			if n.closedByConnections {
				return // the same space: these faults delay no order
			}
			check(true, func(c *Config) { c.LifeConnections, c.OrdersEnd = true, true }, "both")
		})
	}
}

// Guards against a term that is missing in the bounds with which runs at a worker
// that has restarted do not overlap: orders are at most Late old at a later life,
// void orders stay void, and reconcile and R cover both that age and the longest
// lease that a worker grants.
func TestRestartedWorkerWithLongBounds(t *testing.T) {
	t.Parallel()
	b := Scaled()
	b.Late = b.Validity
	b.Reconcile = b.Lapse + b.Check + b.Late + b.LeaseMax + 2*b.Stop
	b.Resend = b.Reconcile
	r := Check(Config{Bounds: b, Faults: 3, FaultKinds: []FaultKind{StartDelayed, WorkerRestarts, CallerLeaves}})
	qt.Assert(t, r.Violation, qt.Equals, "", qt.Commentf("%v", r))
	qt.Assert(t, r.Complete, qt.IsTrue)
	t.Log(r)
}
