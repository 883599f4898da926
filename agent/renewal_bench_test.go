package agent

import (
	"context"
	"fmt"
	"testing"
	"time"

	"chicorytray.example/chicorytray/internal/faultnet"
	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/ledger"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/wire"
)

// listingWorker answers each renewal at once with the same list.
type listingWorker struct {
	Worker
	reply lease.RenewReply
}

func (w *listingWorker) Renew(context.Context, lease.RenewOrder) (lease.RenewReply, error) {
	w.reply.Clock += time.Millisecond
	return w.reply, nil
}

// BenchmarkRenewal measures the processor time of a renewal at the agent, without its
// encoding, for which package platform has a benchmark.
func BenchmarkRenewal(b *testing.B) {
	for _, runs := range []int{0, 4, 32} {
		b.Run(fmt.Sprint("runs=", runs), func(b *testing.B) {
			conf, leased, n := settings.DefaultAgent(), settings.DefaultLeased(), faultnet.New()
			conf.ID, conf.DataCentre, conf.Worker, conf.Connections, conf.Leased = "a1", dataCentre, "w1", 0, &leased
			conf.PeerAddress, conf.AdminAddress, conf.Store.URL = agentHost+":7100", agentHost+":9100", "http://10.0.3.1:7500"
			conf.Timing = platformTiming()
			worker := &listingWorker{reply: lease.RenewReply{Born: 1, Clock: time.Hour}}
			a, err := New(Options{Settings: conf, Store: storestub.New(), Dial: n.Dialer(agentHost),
				Connect: func(lease.Announcement) Worker { return worker }})
			if err != nil {
				b.Fatal(err)
			}
			l := a.leased
			a.WorkerAnnounced(lease.Announcement{Life: lease.Life{ID: "m1", Born: 1}, Sequence: 1, Pool: "p1"})
			l.renew(l.life, false)
			for i := range runs {
				t := wire.Task{Index: i, Expected: time.Duration(20+i) * time.Millisecond, Leased: &wire.LeasedTask{Job: "j"}}
				o, err := l.life.runs.Start(time.Now(), leaseTask(t), "")
				if err != nil {
					b.Fatal(err)
				}
				worker.reply.Active = append(worker.reply.Active, lease.ActiveRun{Run: o.Run})
				id := taskID{key: wire.TaskKey{Sequence: uint64(i)}, owner: ledger.Owner{Entry: "e"}}
				a.tasks[id] = &task{taskID: id, task: t, startedAt: time.Now().Add(time.Hour)}
			}
			b.ReportAllocs()
			for b.Loop() {
				l.renew(l.life, false)
			}
		})
	}
}
