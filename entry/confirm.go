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
// Only ages from replies count, because the moment at which the request was
// sent bounds their delay. An age inside a request may have waited in a buffer
// for any time, so those that agents and peers put in requests are not used.
type confirmation struct {
	timing     settings.Timing
	dataCentre string
	log        zerolog.Logger

	mu        sync.Mutex
	read      time.Time // when the newest successful read of the store was sent
	reachable bool
	failed    bool // a read failed since the process began
	peers     map[string]peerSeen
	heard     []string // data centres of agents heard within the suspect time
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

func (c *confirmation) storeFailed(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reachable || !c.failed {
		c.log.Warn().Err(err).Msg("store is not reachable")
	}
	c.reachable, c.failed = false, true
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

// agentsHeard records the data centres of the known agents, and of those that
// were heard within the suspect time.
func (c *confirmation) agentsHeard(members, heard map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.Copy(c.members, members)
	c.heard = slices.Sorted(maps.Keys(heard))
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

func (c *confirmation) observe(now time.Time) gate.Observation {
	o := gate.Observation{
		StoreReachable: c.reachable, OwnAge: gate.None, OwnDataCentre: c.dataCentre,
		Members: slices.Sorted(maps.Keys(c.members)), Heard: c.dataCentresHeard(now),
	}
	if !c.read.IsZero() {
		o.OwnAge = now.Sub(c.read)
	}
	for _, p := range c.peers {
		if now.Sub(p.sent) > c.timing.Suspect.Of() {
			continue
		}
		age := gate.None
		if p.age >= 0 {
			age = p.age + now.Sub(p.sent)
		}
		o.Peers = append(o.Peers, gate.PeerObservation{Age: age, StoreReachable: p.storeReachable})
	}
	return o
}

// dataCentresHeard lists the data centres in which a process was heard within
// the suspect time.
func (c *confirmation) dataCentresHeard(now time.Time) []string {
	heard := map[string]bool{}
	if now.Sub(c.resumed) > c.timing.Suspect.Of() {
		for _, dc := range c.heard {
			heard[dc] = true
		}
	}
	for _, p := range c.peers {
		if now.Sub(p.sent) <= c.timing.Suspect.Of() {
			heard[p.dataCentre] = true
		}
	}
	return slices.Sorted(maps.Keys(heard))
}

// heardNow is dataCentresHeard for other goroutines.
func (c *confirmation) heardNow(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dataCentresHeard(now)
}
