package entry

import (
	"context"
	"time"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/rpcconn"
	"chicorytray.example/chicorytray/wire"
)

// maxJobWait limits how long one call of Entry.Job waits for an answer. The
// calling entry repeats the call.
const maxJobWait = 10 * time.Second

// rpcServer returns the server for calls from agents and other entries.
func (e *Entry) rpcServer(opts rpcconn.Options) *rpcconn.Server {
	s := rpcconn.NewServer(opts)
	rpcconn.Handle(s, "Entry.Heartbeat", e.rpcHeartbeat)
	rpcconn.Handle(s, "Entry.Offer", e.rpcOffer)
	rpcconn.Handle(s, "Entry.PeerHeartbeat", e.rpcPeerHeartbeat)
	rpcconn.Handle(s, "Entry.FetchConfig", e.rpcFetchConfig)
	rpcconn.Handle(s, "Entry.PushConfig", e.rpcPushConfig)
	rpcconn.Handle(s, "Entry.Job", e.rpcJob)
	rpcconn.Handle(s, "Entry.CancelJob", e.rpcCancelJob)
	rpcconn.Handle(s, "Entry.CancelLeased", e.rpcCancelLeased)
	rpcconn.Handle(s, "Entry.Cancelled", e.rpcCancelled)
	rpcconn.Handle(s, "Entry.Durable", e.rpcDurable)
	rpcconn.Handle(s, "Entry.Forward", e.rpcForward)
	rpcconn.Handle(s, "Entry.ConfirmForwards", e.rpcConfirmForwards)
	return s
}

func (e *Entry) rpcHeartbeat(_ context.Context, req *wire.HeartbeatRequest, reply *wire.HeartbeatReply) error {
	if !e.dispatcher.postAndWait(func(d *dispatcher) { *reply = d.handleHeartbeat(*req) }) {
		return ErrStopped
	}
	return nil
}

func (e *Entry) rpcOffer(_ context.Context, req *wire.OfferRequest, reply *wire.OfferReply) error {
	if !e.dispatcher.postAndWait(func(d *dispatcher) { reply.Used = d.handleOffer(*req) }) {
		return ErrStopped
	}
	return nil
}

// rpcPeerHeartbeat serves Entry.PeerHeartbeat. Of the request it uses only the
// sender's reference, its report of tasks that crash workers, and WantsPending. An entry takes the
// rest from the replies to its own heartbeats, because it can bound the age of a
// reply; see confirmation.
func (e *Entry) rpcPeerHeartbeat(_ context.Context, req *wire.PeerHeartbeat, reply *wire.PeerHeartbeat) error {
	e.peers.learnEntry(req.Entry, true)
	if len(req.CrashingTasks) > 0 {
		sender := *req
		e.dispatcher.post(func(d *dispatcher) { d.recordCrashReport(sender) })
	}
	*reply = e.newPeerHeartbeat(*req)
	return nil
}

// newPeerHeartbeat returns the heartbeat with which this entry replies to that of a
// peer.
func (e *Entry) newPeerHeartbeat(req wire.PeerHeartbeat) wire.PeerHeartbeat {
	now := e.clock.Now()
	age, _ := e.confirmation.age(now)
	b := wire.PeerHeartbeat{
		Entry: e.self, Generation: e.config.generation(), ConfirmAge: age,
		Leaving: e.stopping.Load(), StoreReachable: e.confirmation.storeAnswers(), DataCentres: e.confirmation.recentDataCentres(now),
	}
	r := e.crashReport()
	b.CrashingTasks, b.Confined = r.Convictions, r.Confined
	e.dispatcher.postAndWait(func(d *dispatcher) {
		b.Stopping, b.ShortOfProcessor = d.stopping, d.processor.decision.Short()
		b.Pending = d.countPendingDurable()
		b.PoolLoads = d.reportPoolLoads(req.Entry)
		if req.WantsPending {
			b.PendingElsewhere = e.peerPending.reportFor(entryProcess{req.Entry.ID, req.Entry.Incarnation}, d.holdsDurable)
		}
		for account, tasks := range d.shares.Demand(d.now) {
			b.Demand = append(b.Demand, wire.AccountDemand{Account: account, Tasks: tasks})
		}
	})
	return b
}

// handlePeerHeartbeat records what a peer reported in reply to a heartbeat sent at that
// time: its demand, its loads, its pending durable jobs and tasks that crash workers.
func (e *Entry) handlePeerHeartbeat(b wire.PeerHeartbeat, sent time.Time, interval time.Duration) {
	e.peerPending.update(b.Entry, b.Pending, b.PendingElsewhere)
	e.dispatcher.post(func(d *dispatcher) {
		d.shares.SetInterval(interval)
		d.recordCrashReport(b)
		d.observePoolLoads(b, sent, interval)
		if b.Stopping {
			d.shares.RemoveEntry(b.Entry.ID)
			return
		}
		demand := make(map[string]float64, len(b.Demand))
		for _, a := range b.Demand {
			demand[a.Account] = a.Tasks
		}
		d.shares.Observe(d.now, b.Entry.ID, demand)
	})
}

// rpcFetchConfig serves Entry.FetchConfig. The reply lists the known entries, and
// has the configuration document if it is newer than the caller's.
func (e *Entry) rpcFetchConfig(_ context.Context, req *wire.ConfigRequest, reply *wire.ConfigReply) error {
	reply.Entries = e.peers.activeEntries()
	generation, raw := e.config.document()
	reply.Generation = generation
	if generation > req.Have {
		reply.Document = raw
	}
	return nil
}

func (e *Entry) rpcPushConfig(_ context.Context, req *wire.PushConfigRequest, reply *wire.PushConfigReply) error {
	err := e.config.applyDocument(req.Document, "push")
	reply.Generation = e.config.generation()
	return err
}

// rpcJob serves Entry.Job. It waits up to the shorter of req.Wait and maxJobWait
// for the answer to a job of this entry. A submission that claimed its idempotency
// key and was then refused has no job; the reply has its outcome, not_run.
func (e *Entry) rpcJob(ctx context.Context, req *wire.JobRequest, reply *wire.JobReply) error {
	ctx, cancel := context.WithTimeout(ctx, min(req.Wait, maxJobWait))
	defer cancel()
	if c := e.pendingClaims.get(req.Job, req.Account); c != nil {
		select {
		case <-c.decided:
		case <-ctx.Done():
			reply.Known, reply.Account = true, c.account
			return nil
		}
		if c.refused {
			reply.Outcome = string(OutcomeNotRun)
			return nil
		}
	}
	j, err := e.localJob(req.Job, req.Account)
	if err != nil || j == nil {
		return err
	}
	select {
	case <-j.done:
	case <-ctx.Done():
	}
	*reply = jobReply(j)
	return nil
}

// rpcCancelJob serves Entry.CancelJob. It cancels a job of this entry and then
// replies as rpcJob does.
func (e *Entry) rpcCancelJob(ctx context.Context, req *wire.JobRequest, reply *wire.JobReply) error {
	j, err := e.localJob(req.Job, req.Account)
	if err != nil || j == nil {
		return err
	}
	if !e.cancelLocalJob(j) {
		return ErrStopped
	}
	return e.rpcJob(ctx, req, reply)
}

// localJob returns a job of this entry; nil if the job is unknown or belongs to
// another account. The error is ErrStopped.
func (e *Entry) localJob(id, account string) (j *job, err error) {
	if !e.dispatcher.postAndWait(func(d *dispatcher) { j = d.jobs[id] }) {
		return nil, ErrStopped
	}
	if j != nil && j.account != account {
		return nil, nil
	}
	return j, nil
}

func (e *Entry) cancelLocalJob(j *job) bool {
	return e.dispatcher.postAndWait(func(d *dispatcher) {
		if j.leased != nil {
			d.cancelLeased(j)
			return
		}
		d.cancelJob(j, "the job was cancelled")
	})
}

// jobReply returns the reply about a job. It contains the answer only if the
// job is answered, because answer may be read only after done is closed.
func jobReply(j *job) wire.JobReply {
	r := wire.JobReply{Known: true, Account: j.account}
	select {
	case <-j.done:
		a := j.answer
		r.Finished, r.Outcome = true, j.finalOutcome
		r.Status, r.ContentType, r.Header, r.Body, r.RetryAfter = a.status, a.contentType, a.header, a.body, a.retryAfter
	default:
	}
	return r
}

// onConfigChange passes a new configuration to the dispatcher.
func (e *Entry) onConfigChange(v *config.View) {
	e.dispatcher.post(func(d *dispatcher) { d.setView(v) })
}

// setView applies a configuration unless its generation is older or equal. Data
// centres go out of service or return to service at once, and the configuration
// is sent to agents with an older one.
func (d *dispatcher) setView(v *config.View) {
	if d.view != nil && v.Generation() <= d.view.Generation() {
		return
	}
	d.view = v
	d.removeUnusedPools()
	c := v.AgentConfig()
	for _, a := range d.agents {
		d.updatePlacementEntry(a)
		d.updateUsable(a)
		if a.configGeneration < c.Generation {
			d.sendAnnounce(a, wire.AnnounceRequest{Backlog: d.currentBacklog(a.ref.Pool), Config: &c})
		}
	}
}
