package leasemodel

import "fmt"

// Rule names one rule of the design that can be switched off.
type Rule uint

// Rules of sections 13.2 and 13.3, in the order in which
// docs/decisions/run-overlap.md explains them. Those after ResendInterval are not
// stated in these sections; the checker found them to be needed.
//
// A session lapses when the agent has had no renewal for the time L. It is in
// doubt at the entry when a message in it may have been lost. An entry settles
// while it starts nothing after a pause.
const (
	LapseFromSending  Rule = iota // the time until the lapse counts from the sending of the renewed heartbeat
	NoRenewalInDoubt              // an entry does not renew a session that is in doubt
	ReconcileTime                 // an entry waits before it starts a task elsewhere whose run may still be active
	WorkerLease                   // a worker ends a run whose lease has ended
	OrderValidity                 // a worker ignores a start order that is too old
	RunNumbers                    // a worker ignores a start order of a run that was stopped or has ended
	FencingTokens                 // a worker ignores orders of earlier agent processes
	EndProved                     // a stopped run counts as active until a list of the worker shows that it ended
	Adoption                      // a new agent process stops all runs of its worker before it starts any
	CancelOnLeave                 // the end of the caller's connection cancels the job
	Settling                      // an entry starts nothing right after a pause
	ResendInterval                // a caller waits before it resends
	CancelBeforeRenew             // an entry renews no session in which a cancellation is unanswered
	StopBeforeExtend              // an agent extends no lease while a stop is unanswered
	CheckBeforeExtend             // an agent looks for lapsed sessions before it extends the lease
	CheckBeforeStart              // an agent looks for lapsed sessions before it accepts or starts a task
	OpenKeepsLapse                // opening a session does not postpone the lapse for a run of the earlier session
	CancelBeforeRun               // an agent refuses a task that arrives after its cancellation
	SettleBeforeRenew             // an entry renews no session while it settles
	CountsSuspension              // a process counts the time for which it was paused although its steady clock stood still
	BirthInLists                  // a list with another birth ends the life and is not applied
	ClockBound                    // an answer whose clock the next life may have reached does not prove that the life has begun the run
	CarryOver                     // at the end of a life, a run that it is not proved to have begun is carried over to the next life
	TokenPerLife                  // orders to the next life have a higher fencing token
	ExpiryOfListed                // the end of the lease proves only the end of runs that the life is proved to have begun
	RefusalNoProof                // a refused connection does not end the life
	BreakNoProof                  // nor does a connection that breaks before one that is refused
	AnnouncementHint              // an announcement of another life does not end the life
	CheckCaller                   // an entry sends no task whose caller's connection has ended, also before it handles the end
	StopBeforeStart               // while a stop is unanswered, an agent starts no other task if that extends the lease
	CancelUntracked               // an entry cancels a run that the agent lists when a session is opened and that it has given up
	ruleCount
)

var ruleNames = [ruleCount]string{
	"LapseFromSending", "NoRenewalInDoubt", "ReconcileTime", "WorkerLease", "OrderValidity", "RunNumbers",
	"FencingTokens", "EndProved", "Adoption", "CancelOnLeave", "Settling", "ResendInterval", "CancelBeforeRenew",
	"StopBeforeExtend", "CheckBeforeExtend", "CheckBeforeStart", "OpenKeepsLapse", "CancelBeforeRun", "SettleBeforeRenew",
	"CountsSuspension", "BirthInLists", "ClockBound", "CarryOver", "TokenPerLife", "ExpiryOfListed", "RefusalNoProof", "BreakNoProof", "AnnouncementHint",
	"CheckCaller",
	"StopBeforeStart", "CancelUntracked",
}

func (r Rule) String() string {
	if r < ruleCount {
		return ruleNames[r]
	}
	return fmt.Sprintf("Rule(%d)", uint(r))
}

// Rules returns all rules in the order of their values.
func Rules() []Rule {
	all := make([]Rule, ruleCount)
	for i := range all {
		all[i] = Rule(i)
	}
	return all
}

// Bounds holds the settings of section 13.3 in ticks.
type Bounds struct {
	Lapse     int8 // L, the session lapse
	Check     int8 // H/2, how late an agent may notice a lapse
	Lease     int8 // 1.02 W, the longest lease of a worker by the agent's clock
	Stop      int8 // S, how long a worker takes to stop a run
	Validity  int8 // how old a start order may be when the worker executes it
	LeaseMax  int8 // longest lease that a worker grants; deadlines by the clock of an earlier life are cut to it
	Late      int8 // how old a start order may be when a later life executes it; NoLimit if there is no limit
	Reconcile int8 // wait before an entry starts a task elsewhere whose run may still be active
	Resend    int8 // R, from the end of a caller's connection to its next attempt
	Ping      int8 // time after which an unanswered cancellation puts the session in doubt
	Notice    int8 // how late an entry may handle the end of a caller's connection
	Settle    int8 // time after a pause in which an entry starts nothing
	LongPause int8 // an entry settles after a pause that is longer than this
}

// Sum returns the design's lower limit of Reconcile and Resend:
// L + H/2 + 1.02 W + 2 S.
func (b Bounds) Sum() int8 { return b.Lapse + b.Check + b.Lease + 2*b.Stop }

// NoLimit is a bound that no age in the model exceeds.
const NoLimit = 127

// Scaled returns the bounds of section 13.3 in ticks, as the package comment
// explains. LongPause is 0, so that an entry settles after every pause: settling
// only after pauses longer than L does not prevent concurrent runs.
func Scaled() Bounds {
	b := Bounds{Lapse: 4, Check: 1, Lease: 3, Stop: 1, Validity: 2, LeaseMax: 7, Late: NoLimit, Ping: 3, Settle: 1}
	b.Reconcile, b.Resend = b.Sum(), b.Sum()
	return b
}

// Config selects what one check explores.
type Config struct {
	Bounds
	Faults     int8        // most faults in one path
	FaultKinds []FaultKind // kinds of faults that may occur; nil means all
	VoidRevive bool        // a later life may execute start orders that were void in the life to which they were sent
	// LifeConnections means that agents order starts and extend leases only over
	// connections to the life that they know.
	LifeConnections bool
	// OrdersEnd means that orders to a life end with its process: no later life
	// executes what an earlier one has received.
	OrdersEnd bool
	// LookFirst means that a late start order does not arrive at a later life before
	// the first order of the agent with a higher token, while the agent works and the
	// worker answers.
	LookFirst bool
	Disabled  uint // bit set of the rules that are switched off; see Without
	Limit     int  // number of states after which the search stops; 0 means no limit
}

// Without returns a copy of the configuration with one more rule switched off.
func (c Config) Without(r Rule) Config {
	c.Disabled |= 1 << r
	return c
}

// enforces reports whether the rule is switched on.
func (c *Config) enforces(r Rule) bool { return c.Disabled&(1<<r) == 0 }

// allows reports whether faults of the kind may occur.
func (c *Config) allows(k FaultKind) bool {
	for _, v := range c.FaultKinds {
		if v == k {
			return true
		}
	}
	return c.FaultKinds == nil
}

// FaultKind is a kind of fault.
type FaultKind int8

// Kinds of faults. The end of a fault (a link restored, a process resumed or
// replaced, a delayed message delivered) may follow at any time or never, and does
// not count as a fault.
const (
	LinkDown     FaultKind = iota // an entry's calls to an agent, the heartbeats between them, or both fail
	OrdersDown                    // a worker neither executes nor answers starts and stops of the task; it may execute starts of other tasks
	RenewalsDown                  // a worker neither executes nor answers renewals
	EntryDies
	AgentDies
	EntryPauses
	AgentPauses
	CallerLeaves   // the caller's connection breaks or its deadline passes
	RunDelayed     // Agent.Run is delayed
	OpenDelayed    // Agent.OpenSession is delayed
	OpenReplyLost  // the reply to Agent.OpenSession is lost
	RenewalDelayed // the reply to a heartbeat is delayed
	StartDelayed   // a worker executes a start order late
	WorkerRestarts // a worker's process ends and may start again under its identifier
	RefusedByLink  // a connection is refused although the worker's process runs
	BrokenByLink   // a connection breaks and the next one is refused although the worker's process runs
	StaleAnnounced // an announcement of another life arrives although the worker's process runs
	TaskRestarted  // an entry cancels a stalled or slow run to start the task elsewhere
	UnreadEnds     // the caller's connection ends before the entry has read the submission; the caller resends at once
	FormerHeard    // a heartbeat of a former process of an agent arrives after those of the present one
)
