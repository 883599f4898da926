package entry

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"chicorytray.example/chicorytray/wire"
)

// Guards against lines that do not tell why a task was sent again, so that it cannot be
// found out afterwards which decision made two runs of it overlap.
func TestLinesAboutTasksThatAreSentAgain(t *testing.T) {
	lost := script{duration: time.Millisecond, result: &wire.Result{Outcome: wire.OutcomeInterrupted, Reason: wire.ReasonWorkerLost}}
	for proof, fault := range map[endProof]func(h *harness, a *fakeAgent){
		proofReconcile: func(h *harness, _ *fakeAgent) { h.net.Partition("10.0.1.1", "10.0.2.1") },
		proofReplaced:  func(_ *harness, a *fakeAgent) { a.die(); a.start() },
		proofReported:  nil,
	} {
		t.Run(string(proof), func(t *testing.T) {
			inBubble(t, func(h *harness) {
				var log bytes.Buffer
				e := h.leasedEntry(nil, func(o *Options) { o.Logger = zerolog.New(zerolog.SyncWriter(&log)).Level(zerolog.WarnLevel) })
				first := runsFor(900)
				if fault == nil {
					first = lost
				}
				a := h.worker(1, first)
				waitForDiscovery()
				s := h.submit(e, "1f", 1)
				h.worker(2, runsFor(200))
				if fault != nil {
					time.Sleep(100 * time.Millisecond)
					fault(h, a)
				}
				h.Check(s.wait().Outcome, qt.Equals, OutcomeDone)
				line := lineWith(&log, "task is sent again")
				for _, field := range []string{`"caller_job":"1f"`, `"task":0`, `"agent":"` + a.ref.ID + `"`, `"session":1`, fmt.Sprintf(`"proof":%q`, proof)} {
					h.Check(line, qt.Contains, field)
				}
			})
		})
	}
	s, now := newOpenSession(1)
	s.recordSend(nil, 0, now)
	id := s.beginOpen(now, reconcileLimit)
	absent := s.handleOpened(id.Number, wire.OpenSessionReply{Agent: wire.AgentRef{Incarnation: 1}})
	qt.Check(t, absent[0].proof, qt.Equals, proofAbsent)
}

// lineWith returns the first line of the log with the message; empty if there is none.
func lineWith(log *bytes.Buffer, message string) string {
	for line := range strings.Lines(log.String()) {
		if strings.Contains(line, `"message":"`+message+`"`) {
			return line
		}
	}
	return ""
}

// Guards against a job whose second submission leaves no trace: one that joins it, one
// after its caller left, and one whose caller had left before. An ordinary job writes no
// line.
func TestLinesAboutRepeatedSubmissions(t *testing.T) {
	inBubble(t, func(h *harness) {
		var log bytes.Buffer
		e := h.leasedEntry(nil, func(o *Options) { o.Logger = zerolog.New(zerolog.SyncWriter(&log)).Level(zerolog.WarnLevel) })
		a := h.worker(1, runsFor(300))
		waitForDiscovery()
		h.Check(h.submit(e, "1a", 3).wait().Outcome, qt.Equals, OutcomeDone)
		h.Check(log.String(), qt.Equals, "")
		first := h.submit(e, "1f", 1)
		first.cancel()
		first.wait()
		h.Check(lineWith(&log, "callers left"), qt.Contains, `"agents":["`+a.ref.ID+`"]`)
		time.Sleep(time.Second)
		second := h.submit(e, "1f", 1)
		h.Check(lineWith(&log, "job was here before"), qt.Contains, `"former_reason":"cancelled"`)
		third := h.submit(e, "1f", 1)
		h.Check(lineWith(&log, "submission joins a job"), qt.Contains, `"callers":2`)
		h.Check(second.wait().Outcome, qt.Equals, OutcomeDone)
		h.Check(third.wait().Outcome, qt.Equals, OutcomeDone)
	})
}

// Guards against a burst of faults that fills the disk with lines, or whose left out
// lines nobody learns of.
func TestLinesAboutJobsAreBounded(t *testing.T) {
	var log bytes.Buffer
	scope := tally.NewTestScope("", nil)
	l := jobLog{log: zerolog.New(&log), dropped: scope.Counter("job_log_dropped")}
	now := time.Unix(1000, 0)
	for range maxJobLogLines + 5 {
		l.line(now).Msg("x")
	}
	qt.Check(t, strings.Count(log.String(), `"message":"x"`), qt.Equals, maxJobLogLines)
	l.line(now.Add(time.Second)).Msg("x")
	qt.Check(t, lineWith(&log, "lines about jobs were left out"), qt.Contains, `"lines":5`)
	qt.Check(t, scope.Snapshot().Counters()["job_log_dropped+"].Value(), qt.Equals, int64(5))
}

// Guards against memory that grows with the jobs of an entry.
func TestFormerJobsAreForgotten(t *testing.T) {
	var f formerJobs
	now := time.Unix(1000, 0)
	for i := range maxFormerJobs + 10 {
		f.add(&formerJob{identifier: fmt.Sprint(i), forgotten: now})
	}
	f.add(&formerJob{identifier: "9", forgotten: now})
	qt.Check(t, len(f.jobs), qt.Equals, maxFormerJobs)
	qt.Check(t, f.get("9", now.Add(leasedAnswerRetention)), qt.IsNotNil)
	qt.Check(t, f.get("9", now.Add(leasedAnswerRetention+1)), qt.IsNil)
	f.add(&formerJob{identifier: "last", forgotten: now.Add(leasedAnswerRetention + 1)})
	qt.Check(t, len(f.jobs), qt.Equals, 1)
}
