package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/rpcconn"
	"chicorytray.example/chicorytray/settings"
)

// serveAll serves the addresses for callers, peers and administration until a
// planned stop is complete, ctx ends or one of the servers fails.
func (e *Entry) serveAll(ctx context.Context, l listeners) error {
	serveCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers := e.callerServer()
	rpc := e.rpcServer(e.rpcOptions)
	admin := e.adminServer()
	failed := make(chan error, 3)
	var wg sync.WaitGroup
	wg.Go(func() { failed <- serveHTTP(callers, l.callers, e.callerTLS != nil && e.guards.callers == nil) })
	wg.Go(func() { failed <- serveHTTP(admin, l.admin, false) })
	wg.Go(func() { failed <- rpc.Serve(serveCtx, l.peers) })
	e.log.Info().Str("callers", l.callers.Addr().String()).Str("peers", l.peers.Addr().String()).
		Str("admin", l.admin.Addr().String()).Msg("entry is serving")

	var err error
	select {
	case <-ctx.Done():
		err = ctx.Err()
	case err = <-failed:
	case <-e.stopRequested:
		err = e.drain(ctx, callers, rpc)
	}
	_ = callers.Close()
	_ = admin.Close()
	cancel()
	wg.Wait()
	return err
}

func serveHTTP(s *http.Server, l net.Listener, secure bool) error {
	var err error
	if secure {
		err = s.ServeTLS(l, "", "")
	} else {
		err = s.Serve(l)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Stop makes a planned stop. The entry reports that it is not ready, accepts
// jobs for the stop notice while load balancers take it out of rotation, then
// refuses new jobs (with Timing.StopAccept see acceptOnOpenConnections), hands over its durable jobs, finishes the others and
// removes its registration. Stop returns when Run has ended, or with the error
// of ctx when ctx ends first; that does not interrupt the stop.
func (e *Entry) Stop(ctx context.Context) error {
	e.stopOnce.Do(func() {
		e.stopping.Store(true)
		close(e.stopRequested)
	})
	if !e.running.Load() {
		return nil
	}
	select {
	case <-e.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// drain carries out the planned stop.
func (e *Entry) drain(ctx context.Context, callers *http.Server, rpc *rpcconn.Server) error {
	begun, limit := e.clock.Now(), e.stopLimit()
	e.log.Info().Dur("notice_ms", e.settings.Timing.StopNotice.AsDuration()).Msg("planned stop started")
	wait.For(ctx, e.settings.Timing.StopNotice.AsDuration(), nil)
	handOverCtx, endHandOver := context.WithCancel(ctx)
	handedOver := make(chan struct{})
	close(handedOver)
	defer func() { endHandOver(); <-handedOver }()
	// Concurrent with the jobs, because it may take longer than the stop if the store
	// or an agent does not answer.
	startHandOver := func() {
		handedOver = make(chan struct{})
		go func() { defer close(handedOver); e.handOver(handOverCtx) }()
	}
	if e.settings.Timing.StopAccept {
		if err := e.acceptOnOpenConnections(ctx, begun, limit, startHandOver); err != nil {
			return err
		}
	}
	var idle <-chan struct{}
	if !e.dispatcher.postAndWait(func(d *dispatcher) {
		d.stopping = true
		idle = d.whenIdle()
	}) {
		return ErrStopped
	}
	e.log.Info().Int("connections", e.connections.count()).Msg("planned stop: no new jobs are accepted")
	if !e.settings.Timing.StopAccept {
		startHandOver()
	}
	for _, done := range []<-chan struct{}{handedOver, idle} {
		select {
		case <-done:
		case <-limit:
			e.dispatcher.postAndWait(func(d *dispatcher) { d.failOpenJobs("the entry had to stop before the job was done") })
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	// Deadlines limit the jobs, but not how slowly a caller reads its answer.
	drainCtx, cancel := context.WithTimeout(ctx, answerDrainTimeout)
	defer cancel()
	if err := callers.Shutdown(drainCtx); err != nil {
		e.log.Warn().Err(err).Msg("connections of callers closed before their answers were read")
	}
	e.deliverCancellations(ctx, limit)
	e.registration.remove(ctx)
	// Other entries may still be fetching the last answers for their callers.
	callsCtx, cancelCalls := context.WithTimeout(ctx, e.settings.Timing.CallTimeout.AsDuration())
	defer cancelCalls()
	_ = rpc.Drain(callsCtx)
	e.log.Info().Dur("took_ms", e.clock.Since(begun)).Msg("planned stop complete")
	return ctx.Err()
}

// deliverCancellations waits for the peers' answers to cancellations at the end of a
// planned stop, for a call in progress and one more to each peer at most.
func (e *Entry) deliverCancellations(ctx context.Context, limit <-chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, 2*e.settings.Timing.CallTimeout.AsDuration())
	defer cancel()
	go func() {
		select {
		case <-limit:
			cancel()
		case <-ctx.Done():
		}
	}()
	e.peers.awaitCancelsDelivered(ctx)
}

// stopLimit returns a channel that is closed when a planned stop that begins now has
// to answer the jobs that are still open: a caller whose job outlasts the stop would
// otherwise get no answer when the process is killed. It is nil without
// Timing.StopGrace.
func (e *Entry) stopLimit() <-chan struct{} {
	grace := e.settings.Timing.StopGrace.AsDuration()
	if grace == 0 {
		return nil
	}
	limit := make(chan struct{})
	time.AfterFunc(grace-settings.StopMargin, func() { close(limit) })
	return limit
}

// answerDrainTimeout limits how long a stopping entry waits for callers that
// read their answers slowly.
const answerDrainTimeout = 30 * time.Second
