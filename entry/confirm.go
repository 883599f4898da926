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

	mu              sync.Mutex
	lastRead        time.Time // when the newest successful read of the store was sent
	lastFailure     time.Time // when the newest failed read of the store was sent
	reachable       bool
	peers           map[string]peerReport
	agentsLastHeard map[string]time.Time // when agents were last heard, by data centre
	// newestAgentRead is the newest read of the store that agents reported.
	newestAgentRead time.Time
	// knownDataCentres are the data centres in which a process was ever known. They are
	// kept while the process lives: a side of a partition that forgot the
	// other side would count itself as the majority.
	knownDataCentres map[string]bool
	// resumedAt is the end of the last pause of this process. Messages that
	// arrived during a pause may be as old as the pause.
	resumedAt time.Time
	basis     gate.Basis
}

// peerReport is what the newest reply of a peer said.
type peerReport struct {
	sentAt         time.Time     // when the request was sent
	age            time.Duration // reported; negative for none
	storeReachable bool
	dataCentre     string
}

func newConfirmation(t settings.Timing, dataCentre string, log zerolog.Logger) *confirmation {
	return &confirmation{
		timing: t, dataCentre: dataCentre, log: log, basis: gate.BasisNone,
		peers: map[string]peerReport{}, knownDataCentres: map[string]bool{dataCentre: true},
	}
}

// recordStoreAnswer records that the store carried out a read.
func (c *confirmation) recordStoreAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reachable {
		c.log.Info().Msg("store is reachable")
	}
	c.reachable = true
}

// recordConfirmingRead records that the configuration in force was the newest when the
// call was sent.
func (c *confirmation) recordConfirmingRead(sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sent.After(c.lastRead) {
		c.lastRead = sent
	}
}

// recordStoreFailure records that a read, sent at that time, failed.
func (c *confirmation) recordStoreFailure(sent time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reachable || c.lastFailure.IsZero() {
		c.log.Warn().Err(err).Msg("store is not reachable")
	}
	c.reachable, c.lastFailure = false, sent
}

func (c *confirmation) storeReachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reachable
}

// recordPeerReply records a peer's reply to a heartbeat.
func (c *confirmation) recordPeerReply(id string, s peerReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[id] = s
	c.knownDataCentres[s.dataCentre] = true
}

func (c *confirmation) forgetPeer(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.peers, id)
}

// recordAgentsHeard records when agents of each data centre were last heard.
func (c *confirmation) recordAgentsHeard(heard map[string]time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for dataCentre := range heard {
		c.knownDataCentres[dataCentre] = true
	}
	c.agentsLastHeard = heard
}

// recordAgentRead records a read of the store by another entry, of which an
// agent heard.
func (c *confirmation) recordAgentRead(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.newestAgentRead) {
		c.newestAgentRead = at
	}
}

// recordPause records that this process did not run for a while.
func (c *confirmation) recordPause(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resumedAt = now
	c.agentsLastHeard = nil
}

// age returns the confirmation age by the store-outage rule, gate.None
// without a confirmation, and what it rests on.
func (c *confirmation) age(now time.Time) (time.Duration, gate.Basis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age, basis := gate.EffectiveAge(c.observation(now))
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
	if c.lastRead.IsZero() {
		return gate.NoAge
	}
	return max(0, now.Sub(c.lastRead))
}

func (c *confirmation) observation(now time.Time) gate.Observation {
	o := gate.Observation{
		StoreReachable: c.reachable, OwnAge: gate.NoAge, OwnDataCentre: c.dataCentre,
		MemberDataCentres: slices.Sorted(maps.Keys(c.knownDataCentres)), SinceHeard: c.dataCentreAges(now),
	}
	if !c.lastRead.IsZero() {
		o.OwnAge = now.Sub(c.lastRead)
	}
	if !c.lastFailure.IsZero() {
		o.FailedAge = now.Sub(c.lastFailure)
	}
	if !c.newestAgentRead.IsZero() {
		o.AgentReadAges = []time.Duration{max(0, now.Sub(c.newestAgentRead))}
	}
	for _, p := range c.peers {
		if now.Sub(p.sentAt) > c.timing.Suspect.AsDuration() {
			o.ReportLag = c.reportLag()
			continue
		}
		age := gate.NoAge
		if p.age >= 0 {
			age = p.age + now.Sub(p.sentAt)
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

// dataCentreAges returns, for the data centres in which a process was heard
// within the suspect time, how long ago that was.
func (c *confirmation) dataCentreAges(now time.Time) map[string]time.Duration {
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
	if now.Sub(c.resumedAt) > c.timing.Suspect.AsDuration() {
		for dataCentre, at := range c.agentsLastHeard {
			consider(dataCentre, at)
		}
	}
	for _, p := range c.peers {
		consider(p.dataCentre, p.sentAt)
	}
	return heard
}

// recentDataCentres lists the data centres in which a process was heard within the
// suspect time.
func (c *confirmation) recentDataCentres(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.dataCentreAges(now)))
}
