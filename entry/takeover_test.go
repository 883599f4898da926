package entry

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/rpcconn"
	"chicorytray.example/chicorytray/wire"
)

func holderNamed(n int) wire.JobHolder {
	return wire.JobHolder{Entry: fmt.Sprint("e", n), Incarnation: 1}
}

// Guards against a holder that is forgotten while its runs may go on, or because a later
// one has claimed the job, and against a table that grows without bound.
func TestHoldersOfAJob(t *testing.T) {
	c := qt.New(t)
	var table holderTable
	now, key := time.Unix(1000, 0), jobKey{"a", "j"}
	claim := func(key jobKey, h wire.JobHolder, lasts time.Duration) []wire.JobHolder {
		earlier, overtaken := table.claim(key, h, now, 0, lasts)
		c.Check(overtaken, qt.IsFalse)
		return earlier
	}
	c.Check(claim(key, holderNamed(1), time.Second), qt.HasLen, 0)
	c.Check(claim(jobKey{"b", "j"}, holderNamed(2), time.Second), qt.HasLen, 0)
	c.Check(claim(key, holderNamed(2), 3*time.Second), qt.DeepEquals, []wire.JobHolder{holderNamed(1)})
	c.Check(claim(key, holderNamed(1), time.Second), qt.DeepEquals, []wire.JobHolder{holderNamed(2)})
	now = now.Add(2 * time.Second)
	c.Check(claim(key, holderNamed(3), time.Second), qt.DeepEquals, []wire.JobHolder{holderNamed(2), holderNamed(1)})
	c.Check(table.jobs, qt.HasLen, 1)
	_, overtaken := table.claim(key, holderNamed(5), now, time.Millisecond, time.Second)
	c.Check(overtaken, qt.IsTrue)
	now = now.Add(time.Second)
	c.Check(claim(key, holderNamed(4), time.Second), qt.HasLen, 0)
	for i := range 2 * maxHeldJobs {
		claim(jobKey{"a", fmt.Sprint(i)}, holderNamed(1), time.Hour)
	}
	c.Check(len(table.jobs) <= maxHeldJobs, qt.IsTrue)
	for i := range 2 * maxHoldersOfJob {
		c.Check(len(claim(key, holderNamed(i), time.Hour)) <= maxHoldersOfJob, qt.IsTrue)
	}
}

// Guards against an entry that crashes or records a job without end because of what a
// peer sends.
func TestMalformedClaims(t *testing.T) {
	e := &Entry{}
	for _, req := range []wire.ClaimJobRequest{
		{Job: "has space", For: time.Second}, {Job: "j", For: -1}, {Job: "j", For: 1 << 62}, {},
	} {
		err := e.rpcClaimJob(context.Background(), &req, &wire.ClaimJobReply{})
		qt.Check(t, err, qt.ErrorIs, ErrMalformedClaim)
	}
}

// Guards against a submission that fails or waits because the job's home entry knows no
// claims, as one of an earlier version, or does not answer them.
func TestHomeWithoutClaims(t *testing.T) {
	for name, claim := range map[string]func(){"earlier version": nil, "silent": func() { time.Sleep(time.Minute) }} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(h *harness) {
				e := h.leasedEntry(nil)
				h.worker(1, runsFor(100))
				ref := wire.EntryRef{ID: "e9", Incarnation: 9, Address: "10.0.1.9:7000", DataCentre: "anping"}
				s := rpcconn.NewServer(e.rpcOptions)
				rpcconn.Handle(s, "Entry.PeerHeartbeat", func(_ context.Context, _ *wire.PeerHeartbeat, reply *wire.PeerHeartbeat) error {
					reply.Entry = ref
					return nil
				})
				if claim != nil {
					rpcconn.Handle(s, "Entry.ClaimJob", func(context.Context, *wire.ClaimJobRequest, *wire.ClaimJobReply) error {
						claim()
						return nil
					})
				}
				l, err := h.net.Listen(ref.Address)
				h.Assert(err, qt.IsNil)
				ctx, cancel := context.WithCancel(context.Background())
				h.wg.Go(func() { _ = s.Serve(ctx, l) })
				h.cleanups = append(h.cleanups, cancel)
				e.peers.learnEntry(ref, true)
				waitForDiscovery()
				for i := range 10 {
					began := time.Now()
					h.Check(h.submit(e, fmt.Sprint("j", i), 1).wait().Outcome, qt.Equals, OutcomeDone)
					h.Check(time.Since(began) < 200*time.Millisecond, qt.IsTrue)
				}
			})
		})
	}
}

// Guards against a job that another account ends by the use of its identifier, and
// against an answer that stops the caller from sending the released job again.
func TestReleasedJob(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.leasedEntry(nil)
		h.worker(1, runsFor(300))
		waitForDiscovery()
		s := h.submit(e, "1f", 2)
		time.Sleep(50 * time.Millisecond)
		req := wire.ReleaseJobRequest{Account: "other", Job: "1f", Incarnation: e.self.Incarnation, By: holderNamed(2)}
		var reply wire.ReleaseJobReply
		h.Check(e.rpcReleaseJob(context.Background(), &req, &reply), qt.IsNil)
		h.Check(reply.Ended, qt.IsTrue)
		h.Check(h.upstreams.totalStarts(), qt.Equals, 2)
		req.Incarnation++
		h.Check(e.rpcReleaseJob(context.Background(), &req, &reply), qt.IsNil)
		h.Check(reply.Replaced, qt.IsTrue)
		req.Incarnation, req.Account = e.self.Incarnation, "portal"
		reply = wire.ReleaseJobReply{}
		h.Check(e.rpcReleaseJob(context.Background(), &req, &reply), qt.IsNil)
		h.Check(reply.Ended, qt.IsTrue)
		a := s.wait()
		h.Check(a.Outcome, qt.Equals, OutcomeUnknown)
		h.Check(a.Reason, qt.Equals, reasonTakenOver)
		h.Check(unknownOutcome(a.Reason, "").Status, qt.Equals, http.StatusGatewayTimeout)
		running, _ := h.upstreams.runningAndStarts("")
		h.Check(running, qt.Equals, 0)
	})
}
