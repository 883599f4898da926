package entry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chicorytray.example/chicorytray/gate"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/store"
)

// confirmation determines the confirmation age: how long ago the configuration
// in force was known to be the newest. It is safe for concurrent use.
//
// Only ages received in replies can confirm, because the time at which the
// request was sent bounds their delay. An age in a request may have been buffered
// for any time, so the ages that agents send in requests can only show that other
// entries have read the store more recently.
type confirmation struct {
	timing     settings.Timing
	dataCentre string
	log        zerolog.Logger
	// onStoreBack is called when the store answers again after a failure. It must not
	// block.
	onStoreBack func()

	mu              sync.Mutex
	lastRead        time.Time             // when the newest read that confirmed the configuration was sent
	lastFailure     time.Time             // when the newest failed call of the store was sent
	reachable       bool                  // the last call of the store was answered
	answers         bool                  // the last call was not, but the store answers somebody; see gate.Observation
	peers           map[string]peerReport // by entry identifier
	agentsLastHeard map[string]time.Time  // when agents were last heard, by data centre
	relays          []string              // addresses of agents that can read the store for this entry
	// newestAgentRead is the time of the newest read of the store that agents
	// reported.
	newestAgentRead time.Time
	// knownDataCentres are the data centres in which a process was ever known.
	// They are never removed, because one side of a partition that dropped the
	// data centres of the other side would count itself as the majority.
	knownDataCentres map[string]bool
	// resumedAt is the end of the last pause of this process. Messages that
	// arrived during a pause may be as old as the pause.
	resumedAt time.Time
	basis     gate.Basis // of the last age, to log changes
}

// peerReport is the content of a peer's newest reply to a heartbeat.
type peerReport struct {
	sentAt         time.Time     // when this entry sent the request
	age            time.Duration // the peer's confirmation age; negative for none
	storeReachable bool          // from the peer
	dataCentre     string        // of the peer
	suspectAfter   time.Duration // time after sentAt after which the peer counts as silent
}

func newConfirmation(t settings.Timing, dataCentre string, log zerolog.Logger) *confirmation {
	return &confirmation{
		timing: t, dataCentre: dataCentre, log: log, basis: gate.BasisNone, onStoreBack: func() {},
		peers: map[string]peerReport{}, knownDataCentres: map[string]bool{dataCentre: true},
	}
}

// recordStoreAnswer records that the store answered a call.
func (c *confirmation) recordStoreAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reachable {
		c.log.Info().Msg("store is reachable")
	}
	if !c.reachable && !c.lastFailure.IsZero() {
		c.onStoreBack()
	}
	c.reachable, c.answers = true, false
}

// recordConfirmingRead records that the store confirmed the configuration in
// force as the newest at the time at which the call was sent.
func (c *confirmation) recordConfirmingRead(sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sent.After(c.lastRead) {
		c.lastRead = sent
	}
}

// recordStoreFailure records the failure of a call that was sent at that time. answers
// is whether the store answered nevertheless, here or to an agent.
func (c *confirmation) recordStoreFailure(sent time.Time, err error, answers bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reachable || c.lastFailure.IsZero() {
		c.log.Warn().Err(err).Str("failure", string(store.FailureOf(err))).Bool("answers", answers).Msg("store is not reachable")
	}
	c.reachable, c.answers, c.lastFailure = false, answers, sent
}

// storeReachable reports whether the store answered the last call.
func (c *confirmation) storeReachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reachable
}

// storeFailed reports whether the last call of the store failed.
func (c *confirmation) storeFailed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.reachable && !c.lastFailure.IsZero()
}

// storeAnswers reports whether the store answers this entry or an agent that it asked.
func (c *confirmation) storeAnswers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reachable || c.answers
}

// recordPeerReply records a peer's reply to a heartbeat.
func (c *confirmation) recordPeerReply(id string, report peerReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[id] = report
	c.knownDataCentres[report.dataCentre] = true
}

func (c *confirmation) forgetPeer(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.peers, id)
}

// relayAgents returns the agents that were last recorded as relays.
func (c *confirmation) relayAgents() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relays
}

// recordAgentsHeard records when agents were last heard, by data centre, and the
// addresses of agents that can read the store for this entry.
func (c *confirmation) recordAgentsHeard(heard map[string]time.Time, relays []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for dataCentre := range heard {
		c.knownDataCentres[dataCentre] = true
	}
	c.agentsLastHeard, c.relays = heard, relays
}

// recordAgentRead records a read of the store that an agent learnt of from some
// entry.
func (c *confirmation) recordAgentRead(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.newestAgentRead) {
		c.newestAgentRead = at
	}
}

// recordPause records that this process was paused until now. The times at which
// agents were heard are discarded, because their messages may be old.
func (c *confirmation) recordPause(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resumedAt = now
	c.agentsLastHeard = nil
}

// age returns the confirmation age by the store-outage rule and its basis. The
// age is gate.NoAge if there is no confirmation.
func (c *confirmation) age(now time.Time) (time.Duration, gate.Basis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := gate.Observation{StoreReachable: c.reachable, OwnAge: c.ownAge(now)}
	if !o.StoreReachable || o.OwnAge == gate.NoAge {
		// Only then does the rule use what peers and agents report. Heartbeats ask
		// for the age hundreds of times a second, and the rest of the observation
		// grows with the number of entries.
		o = c.observation(now)
	}
	age, basis := gate.EffectiveAge(o)
	if basis != c.basis {
		c.log.Info().Str("basis", string(basis)).Str("was", string(c.basis)).Dur("age_ms", age).
			Msg("basis of the confirmation changed")
		c.basis = basis
	}
	return age, basis
}

// readAge returns the age of this entry's newest confirming read of the store, or
// gate.NoAge. It leaves out reads by other entries: a read that is passed on
// repeatedly would appear newer than it is.
func (c *confirmation) readAge(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ownAge(now)
}

// ownAge returns the age of the newest confirming read, or gate.NoAge. The caller
// holds the lock.
func (c *confirmation) ownAge(now time.Time) time.Duration {
	if c.lastRead.IsZero() {
		return gate.NoAge
	}
	return max(0, now.Sub(c.lastRead))
}

// observation returns the input of the store-outage rule. The caller holds the
// lock.
func (c *confirmation) observation(now time.Time) gate.Observation {
	o := gate.Observation{
		StoreReachable: c.reachable, StoreAnswers: c.answers, OwnAge: c.ownAge(now), OwnDataCentre: c.dataCentre,
		MemberDataCentres: slices.Sorted(maps.Keys(c.knownDataCentres)), SinceHeard: c.dataCentreAges(now),
	}
	if !c.lastFailure.IsZero() {
		o.FailedAge = now.Sub(c.lastFailure)
	}
	if !c.newestAgentRead.IsZero() {
		o.AgentReadAges = []time.Duration{max(0, now.Sub(c.newestAgentRead))}
	}
	for _, p := range c.peers {
		if now.Sub(p.sentAt) > p.suspectAfter {
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

// reportLag returns the longest time until a read of the store by another entry
// is reported here: the interval of its reads, the timeout of the call, and two
// idle heartbeat intervals of an agent, which learns of the read from that entry and
// reports it to this one.
func (c *confirmation) reportLag() time.Duration {
	return c.timing.ConfigRead.AsDuration() + c.timing.StoreTimeout.AsDuration() + 2*c.timing.IdleInterval()
}

// dataCentreAges returns, for each data centre from which a process was heard
// within Timing.IdleSuspect, how long ago that was. The caller holds the lock.
func (c *confirmation) dataCentreAges(now time.Time) map[string]time.Duration {
	heard := map[string]time.Duration{}
	consider := func(dataCentre string, at time.Time) {
		age := max(0, now.Sub(at))
		if age > c.timing.IdleSuspect() {
			return
		}
		if known, ok := heard[dataCentre]; !ok || age < known {
			heard[dataCentre] = age
		}
	}
	if now.Sub(c.resumedAt) > c.timing.IdleSuspect() {
		for dataCentre, at := range c.agentsLastHeard {
			consider(dataCentre, at)
		}
	}
	for _, p := range c.peers {
		consider(p.dataCentre, p.sentAt)
	}
	return heard
}

// recentDataCentres lists the data centres from which a process was heard within
// Timing.IdleSuspect, sorted by name.
func (c *confirmation) recentDataCentres(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.dataCentreAges(now)))
}
