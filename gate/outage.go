package gate

import "time"

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
	// AgentAges are the ages that agents reported, which can come from other
	// entries. None is allowed.
	AgentAges []time.Duration
	// Members are the data centres that have known members, Heard those in
	// which a process was heard within the suspect time. OwnDataCentre counts
	// as a member and as heard.
	OwnDataCentre  string
	Members, Heard []string
}

// EffectiveAge applies the store-outage rule: an entry that cannot read the
// store uses the freshest confirmation it hears of. If no peer that it hears
// can read the store either, and it hears more than half of the data centres
// that have members, the store is taken to be out, and the age is 0, because
// no change is accepted without the store. Otherwise the entry may be cut off,
// and the age grows until the gates close. The age is None if there is no
// confirmation.
func EffectiveAge(o Observation) (age time.Duration, basis Basis) {
	age, basis = freshest(o)
	if o.StoreReachable && o.OwnAge >= 0 {
		return age, basis
	}
	for _, p := range o.Peers {
		if p.StoreReachable {
			return age, basis
		}
	}
	// A process that was never confirmed has no configuration to keep using.
	if basis != BasisNone && hearsMajority(o) {
		return 0, BasisOutage
	}
	return age, basis
}

// freshest returns the lowest age; the own one wins a tie.
func freshest(o Observation) (age time.Duration, basis Basis) {
	age, basis = None, BasisNone
	consider := func(a time.Duration, b Basis) {
		if a >= 0 && (age == None || a < age) {
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
	for _, a := range o.AgentAges {
		consider(a, BasisPeer)
	}
	return age, basis
}

func hearsMajority(o Observation) bool {
	members := map[string]bool{o.OwnDataCentre: false}
	for _, m := range o.Members {
		members[m] = false
	}
	members[o.OwnDataCentre] = true
	for _, h := range o.Heard {
		if _, ok := members[h]; ok {
			members[h] = true
		}
	}
	heard := 0
	for _, yes := range members {
		if yes {
			heard++
		}
	}
	return 2*heard > len(members)
}
