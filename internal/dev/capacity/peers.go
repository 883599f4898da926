package capacity

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chicorytray.example/chicorytray/rpcconn"
	"chicorytray.example/chicorytray/wire"
)

const peerHeartbeatInterval = time.Second

// runPeers runs n stand-ins of other entries until ctx ends. Each reports demand
// for the given number of client accounts.
func runPeers(ctx context.Context, entry string, n, accounts int, dataCentres []string) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("capacity: entry stand-in %d: %w", i, err)
		}
		heartbeat := wire.PeerHeartbeat{
			Entry: wire.EntryRef{
				ID: fmt.Sprintf("entry-%d", i), Incarnation: wire.NewIncarnation(),
				Address: l.Addr().String(), DataCentre: dataCentres[i%len(dataCentres)],
			},
			ConfirmAge: 500 * time.Millisecond, StoreReachable: true, DataCentres: dataCentres,
		}
		for a := range accounts {
			heartbeat.Demand = append(heartbeat.Demand, wire.AccountDemand{Account: accountName(a), Tasks: 200 + float64(a)/3})
		}
		s := rpcconn.NewServer(rpcconn.Options{Logger: zerolog.Nop()})
		rpcconn.Handle(s, "Entry.PeerHeartbeat", func(_ context.Context, req, r *wire.PeerHeartbeat) error {
			*r = heartbeat
			r.Generation = req.Generation
			return nil
		})
		wg.Go(func() { _ = s.Serve(ctx, l) })
		wg.Go(func() { sendPeerHeartbeats(ctx, entry, heartbeat) })
	}
	return nil
}

// sendPeerHeartbeats sends the heartbeats of an entry stand-in to the measured
// entry until ctx ends or a call fails.
func sendPeerHeartbeats(ctx context.Context, entry string, heartbeat wire.PeerHeartbeat) {
	dialer := rpcconn.Dialer{Options: rpcconn.Options{CallTimeout: callTimeout}}
	conn, err := dialer.Connect(ctx, entry)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for ctx.Err() == nil {
		var reply wire.PeerHeartbeat
		if err := conn.Call(ctx, "Entry.PeerHeartbeat", &heartbeat, &reply); err != nil {
			return
		}
		heartbeat.Generation = reply.Generation
		pause(ctx, peerHeartbeatInterval)
	}
}
