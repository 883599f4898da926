package leasemodel

import "fmt"

// Rule names one rule of the design that can be switched off.
type Rule uint

// Rules of sections 13.2 and 13.3, in the order in which they are explained in
// docs/decisions/run-overlap.md. Those after ResendInterval are not stated in
// these sections; the checker found them to be needed.
const (
	LapseFromSending  Rule = iota // lapse counts from the sending of the renewed heartbeat
	NoRenewalInDoubt              // a session in doubt is not renewed
	ReconcileTime                 // a task whose run is unknown waits before it starts elsewhere
	WorkerLease                   // a run ends when its lease is not extended
	OrderValidity                 // a worker ignores a start order that is too old
	RunNumbers                    // a worker ignores a start order of a run that was stopped or has ended
	FencingTokens                 // a worker ignores orders of earlier agent processes
	EndProved                     // a run that was told to stop counts until a list shows that it ended
	Adoption                      // a new agent process stops everything before it starts anything
	CancelOnLeave                 // the end of the caller's connection cancels the job
	Settling                      // an entry starts nothing right after a pause
	ResendInterval                // a caller waits before it resends
	CancelBeforeRenew             // an entry renews no session in which a cancellation is unanswered
	StopBeforeExtend              // an agent extends no lease while a stop is unanswered
	CheckBeforeExtend             // an agent looks for lapsed sessions before it extends the lease
	CheckBeforeStart              // an agent looks for lapsed sessions before it accepts or starts a task
	OpenKeepsLapse                // opening a session extends no run of the earlier session
	CancelBeforeRun               // a cancelled task that arrives later is refused
	SettleBeforeRenew             // an entry renews no session while it settles
	ruleCount
)

var ruleNames = [ruleCount]string{
	"LapseFromSending", "NoRenewalInDoubt", "ReconcileTime", "WorkerLease", "OrderValidity", "RunNumbers",
	"FencingTokens", "EndProved", "Adoption", "CancelOnLeave", "Settling", "ResendInterval", "CancelBeforeRenew",
	"StopBeforeExtend", "CheckBeforeExtend", "CheckBeforeStart", "OpenKeepsLapse", "CancelBeforeRun", "SettleBeforeRenew",
}

func (r Rule) String() string {
	if r < ruleCount {
		return ruleNames[r]
	}
	return fmt.Sprintf("Rule(%d)", uint(r))
}

// Rules returns all rules.
func Rules() []Rule {
	all := make([]Rule, ruleCount)
	for i := range all {
		all[i] = Rule(i)
	}
	return all
}

// Bounds are the settings of section 13.3 in ticks.
type Bounds struct {
	Lapse     int8 // L, the session lapse
	Check     int8 // H/2, by which a lapse is noticed late
	Lease     int8 // 1.02 W, the worker's lease by the clock of the agent
	Stop      int8 // S, the time to stop a run
	Validity  int8 // of a start order
	Reconcile int8 // wait before a task whose run is unknown starts elsewhere
	Resend    int8 // R, from the end of a caller's connection to its next attempt
	Ping      int8 // after which an unanswered cancellation puts the session in doubt
	Notice    int8 // until an entry handles the end of a caller's connection
	Settle    int8 // time without starts after a pause
	LongPause int8 // an entry settles after a pause of more than this
}

// Sum returns the design's lower limit of Reconcile and Resend:
// L + H/2 + 1.02 W + 2 S.
func (b Bounds) Sum() int8 { return b.Lapse + b.Check + b.Lease + 2*b.Stop }

// Scaled returns the bounds of section 13.3 in ticks, as the package comment
// explains. An entry settles after every pause here, because settling only after
// pauses longer than L is not enough.
func Scaled() Bounds {
	b := Bounds{Lapse: 4, Check: 1, Lease: 3, Stop: 1, Validity: 2, Ping: 3, Settle: 1}
	b.Reconcile, b.Resend = b.Sum(), b.Sum()
	return b
}

// Config is what one check explores.
type Config struct {
	Bounds
	Faults     int8        // faults in one path
	FaultKinds []FaultKind // faults that may occur; nil means all
	Disabled   uint        // set of rules that are switched off; see Without
	Limit      int         // states after which the search gives up; 0 means none
}

// Without returns the configuration with a rule switched off.
func (c Config) Without(r Rule) Config {
	c.Disabled |= 1 << r
	return c
}

func (c *Config) enforces(r Rule) bool { return c.Disabled&(1<<r) == 0 }

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

// Faults. Their ends (a link restored, a process resumed or replaced, a held
// message delivered) may follow at any time or never, and cost nothing.
const (
	LinkDown     FaultKind = iota // between an entry and an agent: either connection, or both
	OrdersDown                    // a worker leaves orders to start and stop unanswered
	RenewalsDown                  // a worker leaves renewals unanswered
	EntryDies
	AgentDies
	EntryPauses
	AgentPauses
	CallerLeaves   // its connection breaks or its time is up
	RunDelayed     // Agent.Run is delayed
	OpenDelayed    // Agent.OpenSession is delayed
	OpenReplyLost  // the reply to Agent.OpenSession is lost
	RenewalDelayed // the reply to a heartbeat is delayed
	StartDelayed   // a start order is carried out late
	TaskRestarted  // an entry cancels a stalled or slow run to start its task elsewhere
)
