package entry

import (
	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/rpcconn"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// serveAll serves the three addresses until a planned stop is done, ctx ends
// or one of them fails.
func (e *Entry) serveAll(ctx context.Context, l listeners) error {
	serveCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers := e.callerServer()
	rpc := e.rpcServer(e.rpcOptions)
	admin := &http.Server{ReadHeaderTimeout: headerTimeout, ErrorLog: e.httpErrorLog(), Handler: e.adminHandler()}
	failed := make(chan error, 3)
	var wg sync.WaitGroup
	wg.Go(func() { failed <- serveHTTP(callers, l.callers, e.callerTLS != nil) })
	wg.Go(func() { failed <- serveHTTP(admin, l.admin, false) })
	wg.Go(func() { failed <- rpc.Serve(serveCtx, l.peers) })
	e.log.Info().Str("callers", l.callers.Addr().String()).Str("peers", l.peers.Addr().String()).
		Str("admin", l.admin.Addr().String()).Msg("entry serves")

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

// Stop makes a planned stop: the entry reports that it is not ready, goes on
// accepting jobs while the load balancer takes it out, then refuses new ones,
// finishes its jobs and removes its registration. It returns when Run has
// ended or ctx ends; ending ctx does not interrupt the stop.
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
	e.log.Info().Dur("notice_ms", e.settings.Timing.StopNotice.AsDuration()).Msg("planned stop began")
	wait.For(ctx, e.settings.Timing.StopNotice.AsDuration(), nil)
	var idle <-chan struct{}
	if !e.dispatcher.postAndWait(func(d *dispatcher) {
		d.stopping = true
		idle = d.whenIdle()
	}) {
		return ErrStopped
	}
	e.handOver(ctx)
	select {
	case <-idle:
	case <-ctx.Done():
		return ctx.Err()
	}
	// Deadlines bound the jobs, but not how slowly a caller reads its answer.
	drainCtx, cancel := context.WithTimeout(ctx, answerDrainTimeout)
	defer cancel()
	if err := callers.Shutdown(drainCtx); err != nil {
		e.log.Warn().Err(err).Msg("callers that did not read their answers were cut off")
	}
	e.registration.remove(ctx)
	// Other entries may be reading the last answers for their callers.
	callsCtx, cancelCalls := context.WithTimeout(ctx, e.settings.Timing.CallTimeout.AsDuration())
	defer cancelCalls()
	_ = rpc.Drain(callsCtx)
	return ctx.Err()
}

// answerDrainTimeout bounds how long a stopping entry waits for callers that read
// their answers slowly.
const answerDrainTimeout = 30 * time.Second
