package gate

import (
	"slices"
	"time"
)

// Basis is the evidence on which an entry's confirmation is based.
type Basis string

// Bases of a confirmation.
const (
	BasisNone   Basis = "none"   // there is no confirmation
	BasisOwn    Basis = "own"    // the entry's own read of the store
	BasisPeer   Basis = "peer"   // a read of the store by another process
	BasisOutage Basis = "outage" // the store is unavailable, so it accepts no change
)

// PeerObservation is what an entry knows about another entry from which it
// received a message within the suspect time.
type PeerObservation struct {
	// Age is the current age of the peer's confirmation: the age that it
	// reported plus the time since the request for that report was sent. It is
	// NoAge if the peer had no confirmation.
	Age            time.Duration
	StoreReachable bool
}

// Observation is the information from which an entry computes the age of its
// confirmation.
type Observation struct {
	// StoreReachable is whether the entry's last read of the store succeeded.
	StoreReachable bool
	// StoreAnswers is whether the store answers this entry, or an agent that the
	// entry asked, although the entry's last read did not succeed: the answer
	// stalled or could not be used, or the store serves others only. Such a store may
	// accept changes.
	StoreAnswers bool
	// OwnAge is the age of the entry's last successful read, or NoAge.
	OwnAge time.Duration
	Peers  []PeerObservation
	// FailedAge is the time since the entry sent its last failed read of the
	// store. It is used only while the store is not reachable.
	FailedAge time.Duration
	// AgentReadAges are the ages of the newest read of the store by any entry,
	// as reported by agents; NoAge is allowed. Agents report them in requests,
	// which may have been delayed, so they never confirm the configuration.
	// They only show that the store is available to another entry.
	AgentReadAges []time.Duration
	// ReportLag is the time after a read of the store by another entry for
	// which its next read may not have been reported by agents yet. It is 0 if
	// messages are received from all known entries, because these report
	// themselves whether they can read the store.
	ReportLag time.Duration
	// MemberDataCentres are the data centres that have known members.
	MemberDataCentres []string
	// OwnDataCentre is the entry's own data centre. It counts as a member from
	// which a message was just received.
	OwnDataCentre string
	// SinceHeard holds, by data centre, the time since a message was received
	// from any process there. Data centres without a message within the
	// suspect time are left out.
	SinceHeard map[string]time.Duration
}

// EffectiveAge returns the age of an entry's confirmation according to the
// store-outage rule, or NoAge if there is no confirmation.
//
// An entry that cannot read the store uses the most recent confirmation that it
// receives. The store is considered unavailable if it answers nobody that the entry
// knows of: not the entry nor an agent that it asked, no process that the entry
// has contact with read the store after the entry's own read failed, and if the entry
// has contact with more than half of the data centres that have members. Without
// the store no change of the configuration is accepted, so the age is then only
// that of this evidence: the time since the entry last had contact with a
// majority. Otherwise the entry may be partitioned from the store, and the age
// grows until the gates close.
func EffectiveAge(o Observation) (age time.Duration, basis Basis) {
	age, basis = freshestConfirmation(o)
	if o.StoreReachable && o.OwnAge >= 0 || o.StoreAnswers || o.readByOthers() {
		return age, basis
	}
	// Without a confirmation the process has no configuration to continue with.
	if basis == BasisNone {
		return age, basis
	}
	evidence, ok := majorityAge(o)
	// On a tie, the entry's own evidence takes precedence over that of a peer.
	if ok && (evidence < age || evidence == age && basis == BasisPeer) {
		return evidence, BasisOutage
	}
	return age, basis
}

// readByOthers reports whether another process can read the store, or may have
// read it after the entry's own read failed.
func (o Observation) readByOthers() bool {
	for _, p := range o.Peers {
		if p.StoreReachable {
			return true
		}
	}
	for _, a := range o.AgentReadAges {
		if a >= 0 && a < max(o.FailedAge, o.ReportLag) {
			return true
		}
	}
	return false
}

// freshestConfirmation returns the lowest age and its basis. On a tie, the entry's
// own read takes precedence.
func freshestConfirmation(o Observation) (age time.Duration, basis Basis) {
	age, basis = NoAge, BasisNone
	consider := func(a time.Duration, b Basis) {
		if a >= 0 && (age == NoAge || a < age) {
			age, basis = a, b
		}
	}
	consider(o.OwnAge, BasisOwn)
	if o.StoreReachable && basis == BasisOwn {
		return age, basis
	}
	for _, p := range o.Peers {
		consider(p.Age, BasisPeer)
	}
	return age, basis
}

// majorityAge returns the time since the entry last had contact with more than
// half of the member data centres; ok is false if too few are in SinceHeard.
func majorityAge(o Observation) (age time.Duration, ok bool) {
	members := map[string]bool{o.OwnDataCentre: true}
	for _, m := range o.MemberDataCentres {
		members[m] = true
	}
	ages := []time.Duration{0}
	for name, age := range o.SinceHeard {
		if members[name] && name != o.OwnDataCentre {
			ages = append(ages, age)
		}
	}
	needed := len(members)/2 + 1
	if len(ages) < needed {
		return 0, false
	}
	slices.Sort(ages)
	return ages[needed-1], true
}
