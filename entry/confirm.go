package entry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chicorytray.example/chicorytray/gate"
	"chicorytray.example/chicorytray/settings"
)

// confirmation judges how long ago the configuration in force was known to be
// the newest. It is safe for concurrent use.
//
// Only ages from replies confirm, because the moment at which the request was
// sent bounds their delay. An age inside a request may have waited in a buffer
// for any time, so those that agents put in requests only contradict.
type confirmation struct {
	timing     settings.Timing
	dataCentre string
	log        zerolog.Logger

	mu        sync.Mutex
	read      time.Time // when the newest successful read of the store was sent
	failed    time.Time // when the newest failed read of the store was sent
	reachable bool
	peers     map[string]peerSeen
	heard     map[string]time.Time // when agents were last heard, by data centre
	// elsewhere is the newest read of the store that agents reported.
	elsewhere time.Time
	// members are the data centres in which a process was ever known. They are
	// kept while the process lives: a side of a partition that forgot the
	// other side would count itself as the majority.
	members map[string]bool
	// resumed is the end of the last pause of this process. Messages that
	// arrived during a pause may be as old as the pause.
	resumed time.Time
	basis   gate.Basis
}

// peerSeen is what the newest reply of a peer said.
type peerSeen struct {
	sent           time.Time     // when the request was sent
	age            time.Duration // reported; negative for none
	storeReachable bool
	dataCentre     string
}

func newConfirmation(t settings.Timing, dataCentre string, log zerolog.Logger) *confirmation {
	return &confirmation{
		timing: t, dataCentre: dataCentre, log: log, basis: gate.BasisNone,
		peers: map[string]peerSeen{}, members: map[string]bool{dataCentre: true},
	}
}

// storeAnswered records that the store carried out a read.
func (c *confirmation) storeAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reachable {
		c.log.Info().Msg("store is reachable")
	}
	c.reachable = true
}

// storeRead records that the configuration in force was the newest when the
// call was sent.
func (c *confirmation) storeRead(sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sent.After(c.read) {
		c.read = sent
	}
}

// storeFailed records that a read, sent at that time, failed.
func (c *confirmation) storeFailed(sent time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reachable || c.failed.IsZero() {
		c.log.Warn().Err(err).Msg("store is not reachable")
	}
	c.reachable, c.failed = false, sent
}

func (c *confirmation) storeReachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reachable
}

// peerReplied records a peer's reply to a heartbeat.
func (c *confirmation) peerReplied(id string, s peerSeen) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[id] = s
	c.members[s.dataCentre] = true
}

func (c *confirmation) peerForgotten(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.peers, id)
}

// agentsHeard records when agents of each data centre were last heard.
func (c *confirmation) agentsHeard(heard map[string]time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for dataCentre := range heard {
		c.members[dataCentre] = true
	}
	c.heard = heard
}

// readElsewhere records a read of the store by another entry, of which an
// agent heard.
func (c *confirmation) readElsewhere(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.elsewhere) {
		c.elsewhere = at
	}
}

// paused records that this process did not run for a while.
func (c *confirmation) paused(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resumed = now
	c.heard = nil
}

// age returns the confirmation age by the store-outage rule, gate.None
// without a confirmation, and what it rests on.
func (c *confirmation) age(now time.Time) (time.Duration, gate.Basis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age, basis := gate.EffectiveAge(c.observe(now))
	if basis != c.basis {
		c.log.Info().Str("basis", string(basis)).Str("was", string(c.basis)).Dur("age_ms", age).
			Msg("basis of the confirmation changed")
		c.basis = basis
	}
	return age, basis
}

// readAge returns the age of this entry's newest read of the store, or
// gate.None. Reads by others are left out, so that a report never comes back
// looking newer than it is.
func (c *confirmation) readAge(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.read.IsZero() {
		return gate.NoAge
	}
	return max(0, now.Sub(c.read))
}

func (c *confirmation) observe(now time.Time) gate.Observation {
	o := gate.Observation{
		StoreReachable: c.reachable, OwnAge: gate.NoAge, OwnDataCentre: c.dataCentre,
		MemberDataCentres: slices.Sorted(maps.Keys(c.members)), SinceHeard: c.dataCentresHeard(now),
	}
	if !c.read.IsZero() {
		o.OwnAge = now.Sub(c.read)
	}
	if !c.failed.IsZero() {
		o.FailedAge = now.Sub(c.failed)
	}
	if !c.elsewhere.IsZero() {
		o.AgentReadAges = []time.Duration{max(0, now.Sub(c.elsewhere))}
	}
	for _, p := range c.peers {
		if now.Sub(p.sent) > c.timing.Suspect.AsDuration() {
			o.ReportLag = c.reportLag()
			continue
		}
		age := gate.NoAge
		if p.age >= 0 {
			age = p.age + now.Sub(p.sent)
		}
		o.Peers = append(o.Peers, gate.PeerObservation{Age: age, StoreReachable: p.storeReachable})
	}
	return o
}

// reportLag is the time between two reads of the store by another entry, with
// the call's timeout, and two heartbeats: an agent's to that entry, whose reply
// tells of the read, and the same agent's next one to this entry.
func (c *confirmation) reportLag() time.Duration {
	return c.timing.ConfigRead.AsDuration() + c.timing.StoreTimeout.AsDuration() + 2*c.timing.Heartbeat.AsDuration()
}

// dataCentresHeard returns, for the data centres in which a process was heard
// within the suspect time, how long ago that was.
func (c *confirmation) dataCentresHeard(now time.Time) map[string]time.Duration {
	heard := map[string]time.Duration{}
	consider := func(dataCentre string, at time.Time) {
		age := max(0, now.Sub(at))
		if age > c.timing.Suspect.AsDuration() {
			return
		}
		if known, ok := heard[dataCentre]; !ok || age < known {
			heard[dataCentre] = age
		}
	}
	if now.Sub(c.resumed) > c.timing.Suspect.AsDuration() {
		for dataCentre, at := range c.heard {
			consider(dataCentre, at)
		}
	}
	for _, p := range c.peers {
		consider(p.dataCentre, p.sent)
	}
	return heard
}

// heardNow lists the data centres in which a process was heard within the
// suspect time.
func (c *confirmation) heardNow(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.dataCentresHeard(now)))
}
