package entry

import (
	"context"
	"errors"
	"time"

	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/wire"
)

const (
	// uncertainRetention is how long an entry remembers that a creation may still
	// take effect, since the last submission of the job that it answered so. Callers
	// submit a job again about a second after an unknown outcome. A write that the
	// store holds takes effect seconds later, and only while the key of its epoch
	// exists.
	uncertainRetention = time.Minute
	// maxUncertainCreations bounds their number; each uses about 140 bytes.
	maxUncertainCreations = 10_000
)

// uncertainCreations holds the identifiers of jobs that this entry could not store
// for certain, nor certainly not: a write that it or the preferred entry sent may
// still take effect. A later submission of such a job must not be refused as never
// run.
type uncertainCreations struct {
	since map[string]time.Time
	order []uncertainCreation // oldest first; an element counts if since has its time
}

type uncertainCreation struct {
	identifier string
	since      time.Time
}

func (u *uncertainCreations) add(identifier string, now time.Time) {
	if u.since == nil {
		u.since = map[string]time.Time{}
	}
	u.since[identifier] = now
	u.order = append(u.order, uncertainCreation{identifier, now})
	for oldest := u.order[0]; len(u.order) > maxUncertainCreations || now.Sub(oldest.since) >= uncertainRetention; oldest = u.order[0] {
		if u.since[oldest.identifier].Equal(oldest.since) {
			delete(u.since, oldest.identifier)
		}
		u.order = u.order[1:]
	}
}

// remove forgets a job whose record is known to exist.
func (u *uncertainCreations) remove(identifier string) { delete(u.since, identifier) }

func (u *uncertainCreations) has(identifier string, now time.Time) bool {
	since, ok := u.since[identifier]
	return ok && now.Sub(since) < uncertainRetention
}

// mayBeStored reports whether a submission of the job may have been stored, or may be
// stored later, although this entry does not have the job.
func (d *dispatcher) mayBeStored(identifier string) bool {
	return d.durable.creating[identifier] != nil || d.durable.uncertain.has(identifier, d.now)
}

// refusalOf returns the answer to a submission that failed with the error. It turns
// a refusal into an unknown outcome if an earlier submission of the job may still be
// stored. A refusal because of other work under the identifier stays.
func (d *dispatcher) refusalOf(identifier string, err error) error {
	p := (*problem)(nil)
	if !errors.As(err, &p) || p.Outcome != OutcomeNotRun || p.Reason == reasonJobReused || !d.durable.uncertain.has(identifier, d.now) {
		return err
	}
	d.durable.uncertain.add(identifier, d.now)
	return unknownOutcome(p.Reason, "an earlier submission of the job may still be stored; this one was not accepted: %s", p.Detail)
}

// unknownReply is the reply to a submission that this entry does not accept for a
// reason of its own. Its outcome is unknown if an earlier submission of the job may
// still be stored.
func unknownReply(p *problem) (r wire.DurableReply) {
	if p.Outcome == OutcomeUnknown {
		r.Outcome = string(OutcomeUnknown)
	}
	return r
}

// confirmRefusal returns the answer to a submission that this entry refused. An entry
// that does not know all others yet, or cannot reach them, may have handled an earlier
// submission of the job although another entry is preferred, so the first of all other
// known entries is asked whether it may have stored the job, unless it is the entry
// alreadyAsked. Without its answer the refusal stays. That is one call for each
// refusal, whatever the number of entries.
func (e *Entry) confirmRefusal(ctx context.Context, identifier, alreadyAsked string, err error) error {
	p := (*problem)(nil)
	if !errors.As(err, &p) || p.Outcome != OutcomeNotRun || p.retryAfter == 0 {
		return err
	}
	first, other := e.peers.firstOther(identifier)
	if !other || first.ID == alreadyAsked {
		return err
	}
	reply, _, callErr := e.callDurable(ctx, first, wire.DurableRequest{Verb: wire.DurableState, Identifier: identifier})
	if callErr == nil && (reply.Known || Outcome(reply.Outcome) == OutcomeUnknown) {
		e.dispatcher.postAndWait(func(d *dispatcher) {
			d.durable.uncertain.add(identifier, d.now)
			err = d.refusalOf(identifier, err)
		})
	}
	return err
}

// firstOther returns the known entry, reachable or not, that is ranked first for a job
// among all but this one.
func (p *peers) firstOther(identifier string) (wire.EntryRef, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all, some := map[string]bool{}, ""
	for id := range p.known {
		all[id], some = true, id
	}
	if some == "" {
		return wire.EntryRef{}, false
	}
	return p.known[durable.PreferredEntry(some, identifier, all)].ref, true
}
