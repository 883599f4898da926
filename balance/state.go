package balance

import (
	"cmp"
	"slices"
	"time"
)

// EntryState is the load of an entry in a pool as known to this entry, for a process's
// state dump. Work is in core-milliseconds.
type EntryState struct {
	Entry    string  `json:"entry"`
	Pool     string  `json:"pool"`
	HeardMS  int64   `json:"heard_ms"` // since the last message
	AgeMS    int64   `json:"age_ms"`   // of the load
	Current  bool    `json:"current"`  // the load is recent enough to be used
	Waiting  int64   `json:"waiting_core_ms"`
	Running  int64   `json:"running_core_ms"`
	Admitted int64   `json:"admitted_core_ms"`
	Refused  int     `json:"refused"`
	Usable   bool    `json:"usable"`
	Served   float64 `json:"served"` // part of the submitted work that was admitted, average; 1 if there was none
}

// State returns the loads of this entry and of the others, ordered by pool and entry.
func (l *Loads) State(now time.Time) []EntryState {
	states := []EntryState{}
	add := func(entry, pool string, p *poolLoad, heard, age time.Duration, current bool) {
		served := 1.0
		if submitted := p.admitted + p.refused*l.jobWork[pool]; submitted > 0 {
			served = p.admitted / submitted
		}
		states = append(states, EntryState{
			Entry: entry, Pool: pool, HeardMS: heard.Milliseconds(), AgeMS: age.Milliseconds(), Current: current,
			Waiting: int64(p.load.Waiting / 1000), Running: int64(p.load.Running / 1000), Admitted: int64(p.load.Admitted / 1000),
			Refused: p.load.Refused, Usable: p.load.Usable, Served: served,
		})
	}
	for pool, p := range l.own {
		add(l.options.Self, pool, p, 0, now.Sub(p.updatedAt), true)
	}
	for entry, peer := range l.peers {
		for pool, p := range peer.pools {
			add(entry, pool, p, now.Sub(peer.heardAt), now.Sub(peer.loadsAt), l.isCurrent(peer, now))
		}
	}
	slices.SortFunc(states, func(a, b EntryState) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Entry, b.Entry))
	})
	return states
}

// OldestAge returns the greatest age of the loads of other entries that are used; ok is
// false if there are none.
func (l *Loads) OldestAge(now time.Time) (age time.Duration, ok bool) {
	for _, p := range l.current(now) {
		age, ok = max(age, now.Sub(p.loadsAt)), true
	}
	return age, ok
}
