package gate

import (
	"slices"
	"time"
)

// Basis says what an entry's confirmation rests on.
type Basis string

// Bases of a confirmation.
const (
	BasisNone   Basis = "none"   // never confirmed
	BasisOwn    Basis = "own"    // own read of the store
	BasisPeer   Basis = "peer"   // read of another process
	BasisOutage Basis = "outage" // the store is out, so it accepts no change
)

// PeerObservation is what an entry knows of another entry. Peers that were not
// heard within the suspect time are left out of an Observation.
type PeerObservation struct {
	// Age of the peer's confirmation now: the age it reported plus the time
	// since the request for that report was sent. None if it had none.
	Age            time.Duration
	StoreReachable bool
}

// Observation is what an entry sees when it judges its confirmation.
type Observation struct {
	// StoreReachable is whether the entry's last read of the store succeeded.
	StoreReachable bool
	// OwnAge is the age of the entry's last successful read, or None.
	OwnAge time.Duration
	Peers  []PeerObservation
	// FailedAge is the time since the entry's last read of the store that
	// failed was sent. It matters only while the store is not reachable.
	FailedAge time.Duration
	// AgentReadAges are the ages of the newest read of the store by any entry,
	// as agents reported them. Agents report them in requests, which may have
	// been delayed, so they never confirm anything; they only show that the
	// store is not out. None is allowed.
	AgentReadAges []time.Duration
	// ReportLag is how long after one read of the store by another entry its
	// next one may still be unreported by agents. 0 if all known entries are
	// heard, because they say themselves whether they can read the store.
	ReportLag time.Duration
	// MemberDataCentres are the data centres that have known members.
	MemberDataCentres []string
	// Heard holds, by data centre, the time since a process there was last
	// heard; those not heard within the suspect time are left out.
	// OwnDataCentre counts as a member and as heard now.
	OwnDataCentre string
	SinceHeard    map[string]time.Duration
}

// EffectiveAge applies the store-outage rule: an entry that cannot read the
// store uses the freshest confirmation it hears of. If nobody that it hears
// read the store since the entry's own read failed, and it hears more than
// half of the data centres that have members, the store is taken to be out.
// No change is accepted without the store, so the age is then only that of
// this evidence: the time since the majority was last heard. Otherwise the
// entry may be cut off, and the age grows until the gates close. The age is
// None if there is no confirmation.
func EffectiveAge(o Observation) (age time.Duration, basis Basis) {
	age, basis = freshestConfirmation(o)
	if o.StoreReachable && o.OwnAge >= 0 || o.readByOthers() {
		return age, basis
	}
	// A process that was never confirmed has no configuration to keep using.
	if basis == BasisNone {
		return age, basis
	}
	evidence, ok := majorityAge(o)
	// What this entry sees wins a tie with what a peer reports.
	if ok && (evidence < age || evidence == age && basis == BasisPeer) {
		return evidence, BasisOutage
	}
	return age, basis
}

// readByOthers reports whether some other process can read the store, or may
// have read it after the entry's own failure.
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

// freshestConfirmation returns the lowest age; the own one wins a tie.
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

// majorityAge returns the time since processes in more than half of the data
// centres were last heard; ok is false if too few were heard.
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
