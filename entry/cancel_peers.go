package entry

import (
	"context"
	"time"

	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/wire"
)

const (
	// cancelInterval is the least time between two calls that cancel jobs at one
	// peer. The cancellations of that time share a call, so that a burst makes at
	// most 50 calls a second to each peer.
	cancelInterval = 20 * time.Millisecond
	// maxCancelBatch limits the cancellations in one call, of up to
	// maxIdentifierBytes each.
	maxCancelBatch = 1000
	// maxCancelledFetches limits the lists of cancellations that are received at a time:
	// each has up to maxCancelled identifiers of maxIdentifierBytes, 1.4 MB, so those of 99
	// peers would use up the memory of the smallest machine, 144 MB.
	maxCancelledFetches = 4
)

// cancellation is the cancelling of one job, which every peer has to answer.
type cancellation struct {
	identifier string
	at         time.Time
	unanswered int           // peers that have not answered
	result     cancelResult  // of all entries that have answered
	decided    chan struct{} // closed when result is known, or all peers have answered
}

// add records one more result. The caller of a job that is open at one entry and
// has ended at another one has submitted it twice.
func (c *cancellation) add(r cancelResult) {
	if c.result != jobCancelled && r != jobUnknown {
		c.result = r
	}
	select {
	case <-c.decided:
		return
	default:
	}
	if c.result != jobUnknown || c.unanswered <= 0 {
		close(c.decided)
	}
}

// cancellations are those that a peer may still have to learn of, oldest first. A
// cancellation keeps its position when older ones are removed.
type cancellations struct {
	list  []*cancellation
	first int // position of list[0]
	// knowsEntries is set when the list of entries was received once. Until then
	// a job may be open at an entry that this one does not know.
	knowsEntries bool
}

// from returns the cancellations from the position on.
func (l *cancellations) from(position int) []*cancellation {
	return l.list[max(position-l.first, 0):]
}

// removeOld removes the cancellations that all peers have answered, once peers that
// are new need not learn of them, and the others after the longest time for which a
// job can be open.
func (l *cancellations) removeOld(now time.Time, longestJob time.Duration) {
	for len(l.list) > 0 {
		c := l.list[0]
		age := now.Sub(c.at)
		if len(l.list) <= maxCancelled && age <= cancelledRetention || len(l.list) <= maxCancelled && c.unanswered > 0 && age <= longestJob {
			return
		}
		l.list = l.list[1:]
		l.first++
	}
}

// announceCancellation makes a cancellation due at all peers, with the result at
// this entry.
func (p *peers) announceCancellation(identifier string, own cancelResult) *cancellation {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &p.cancellations
	c := &cancellation{identifier: identifier, at: p.clock.Now(), unanswered: len(p.known), decided: make(chan struct{})}
	if !l.knowsEntries {
		c.unanswered++ // until recordEntriesKnown
	}
	l.removeOld(c.at, p.longestJob)
	l.list = append(l.list, c)
	c.add(own)
	for _, e := range p.known {
		e.makeCancelsDue()
	}
	return c
}

// recordEntriesKnown is called when the list of entries was received.
func (p *peers) recordEntriesKnown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancellations.knowsEntries {
		return
	}
	p.cancellations.knowsEntries = true
	for _, c := range p.cancellations.list {
		c.unanswered--
		c.add(jobUnknown)
	}
}

// cancellationResult returns what is known of the cancellation so far.
func (p *peers) cancellationResult(c *cancellation) cancelResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.result
}

// makeCancelsDue wakes relayCancellations of the peer.
func (e *peer) makeCancelsDue() {
	select {
	case e.cancelsDue <- struct{}{}:
	default:
	}
}

// addPeerToCancellations makes all cancellations due at a new peer, whose process
// may have accepted the jobs before this entry knew it. The caller holds mu.
func (p *peers) addPeerToCancellations(e *peer) {
	l := &p.cancellations
	l.removeOld(p.clock.Now(), p.longestJob)
	e.cancelsDue, e.cancelPosition = make(chan struct{}, 1), l.first
	for _, c := range l.list {
		c.unanswered++
	}
	e.makeCancelsDue()
}

// removePeerFromCancellations counts a peer that is removed, or whose process was
// replaced, as one that does not have the jobs. The caller holds mu.
func (p *peers) removePeerFromCancellations(e *peer) {
	p.recordCancelled(e, p.cancellations.from(e.cancelPosition), wire.CancelLeasedReply{})
}

// recordCancelled records a peer's answer about the cancellations that follow its
// position; the caller holds mu.
func (p *peers) recordCancelled(e *peer, batch []*cancellation, reply wire.CancelLeasedReply) {
	results := make([]cancelResult, len(batch))
	for r, indexes := range map[cancelResult][]int{jobCancelled: reply.Cancelled, jobEnded: reply.Ended} {
		for _, i := range indexes {
			if i >= 0 && i < len(results) {
				results[i] = r
			}
		}
	}
	for i, c := range batch {
		c.unanswered--
		c.add(results[i])
	}
	e.cancelPosition += len(batch)
}

// nextCancellations returns the oldest cancellations that the peer has not answered.
func (p *peers) nextCancellations(e *peer) []*cancellation {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancellations.removeOld(p.clock.Now(), p.longestJob)
	e.cancelPosition = max(e.cancelPosition, p.cancellations.first)
	due := p.cancellations.from(e.cancelPosition)
	return due[:min(len(due), maxCancelBatch)]
}

// relayCancellations sends cancellations to one peer until ctx ends. It repeats
// those that the peer has not answered.
func (p *peers) relayCancellations(ctx context.Context, e *peer) {
	failures := 0
	for ctx.Err() == nil {
		batch := p.nextCancellations(e)
		if len(batch) == 0 {
			select {
			case <-e.cancelsDue:
			case <-ctx.Done():
			}
			continue
		}
		if err := p.sendCancellations(ctx, e, batch); err != nil {
			if failures++; failures == 1 && ctx.Err() == nil {
				p.log.Warn().Str("entry", e.ref.ID).Int("jobs", len(batch)).Err(err).Msg("cancellations not delivered to a peer; retrying")
			}
			wait.For(ctx, fullJitter(p.timing.PeerInterval(p.count()), failures), nil)
			continue
		}
		failures = 0
		wait.For(ctx, cancelInterval, nil)
	}
}

// awaitCancelsDelivered waits until all peers in touch have answered all cancellations,
// or ctx ends. A planned stop would otherwise take with it what it has acknowledged.
func (p *peers) awaitCancelsDelivered(ctx context.Context) {
	for ctx.Err() == nil && p.hasUndeliveredCancels() {
		wait.For(ctx, cancelInterval, nil)
	}
}

func (p *peers) hasUndeliveredCancels() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.known {
		if e.failures == 0 && !e.lastReplySent.IsZero() && len(p.cancellations.from(e.cancelPosition)) > 0 {
			return true
		}
	}
	return false
}

// fetchCancelled asks one peer for the cancellations that it remembers, until it has
// answered. Only a process that is younger than these asks: another has been told all.
func (p *peers) fetchCancelled(ctx context.Context, e *peer) {
	for failures := 1; ctx.Err() == nil && p.clock.Since(p.createdAt) < cancelledRetention; failures++ {
		if p.fetchCancelledOnce(ctx, e.ref.Address) {
			p.mu.Lock()
			e.toldCancelled = true
			p.mu.Unlock()
			return
		}
		wait.For(ctx, fullJitter(p.timing.PeerInterval(p.count()), failures), nil)
	}
}

// fetchCancelledOnce makes one attempt. It waits for its turn when it is connected, so that
// peers that cannot be reached delay no others.
func (p *peers) fetchCancelledOnce(ctx context.Context, address string) bool {
	dialCtx, cancel := context.WithTimeout(ctx, p.timing.CallTimeout.AsDuration())
	defer cancel()
	conn, err := p.dial(dialCtx, address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	select {
	case p.cancelledFetches <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-p.cancelledFetches }()
	var reply wire.CancelledReply
	err = p.call(ctx, conn, address, "Entry.Cancelled", &wire.CancelledRequest{}, &reply)
	return err == nil && p.learnCancelled(reply)
}

// knowsCancelled reports whether all known peers have told what cancellations they
// remember, or the time that a peer in touch needs for that has passed.
func (p *peers) knowsCancelled(now time.Time) bool {
	t := p.timing
	if now.Sub(p.createdAt) >= t.PeerHeartbeat.AsDuration()+2*t.CallTimeout.AsDuration() {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.known {
		if !e.toldCancelled {
			return false
		}
	}
	return p.cancellations.knowsEntries
}

// sendCancellations makes one call to the peer, on the connection of its heartbeats
// or, if that fails, on a new one, and records the answer.
func (p *peers) sendCancellations(ctx context.Context, e *peer, batch []*cancellation) error {
	req := wire.CancelLeasedRequest{Jobs: make([]string, len(batch))}
	for i, c := range batch {
		req.Jobs[i] = c.identifier
	}
	p.mu.Lock()
	conn := e.conn
	p.mu.Unlock()
	reply, err := p.callCancel(ctx, conn, e.ref.Address, &req)
	if err != nil && conn != nil && ctx.Err() == nil {
		reply, err = p.callCancel(ctx, nil, e.ref.Address, &req)
	}
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known[e.ref.ID] == e && e.cancelPosition >= p.cancellations.first { // else the batch has been counted or removed
		p.recordCancelled(e, batch, reply)
	}
	return nil
}

// callCancel cancels jobs at a peer.
func (p *peers) callCancel(ctx context.Context, conn agentConn, address string, req *wire.CancelLeasedRequest) (reply wire.CancelLeasedReply, err error) {
	err = p.call(ctx, conn, address, "Entry.CancelLeased", req, &reply)
	return reply, err
}

// call makes a call on conn or, if that is nil, on a new connection.
func (p *peers) call(ctx context.Context, conn agentConn, address, method string, req, reply any) (err error) {
	ctx, cancel := context.WithTimeout(ctx, p.timing.CallTimeout.AsDuration())
	defer cancel()
	if conn == nil {
		if conn, err = p.dial(ctx, address); err != nil {
			return err
		}
		defer func() { _ = conn.Close() }()
	}
	return conn.Call(ctx, method, req, reply)
}

// setConn replaces the connection of the peer's heartbeats, which
// relayCancellations also uses.
func (p *peers) setConn(e *peer, conn agentConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.conn = conn
}
