package durable_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"chicorytray.example/chicorytray/durable"
)

// Guards against a job that is not taken over, or a log line for each key, because
// another writer left keys among the records that cannot be read.
func TestUnreadableRecordsOfAnotherWriter(t *testing.T) {
	run(t, 1, func(r *rig) {
		var log bytes.Buffer
		scope := tally.NewTestScope("", nil)
		r.log, r.metrics = zerolog.New(zerolog.SyncWriter(&log)), scope
		r.start("edge-1", "1")
		r.nodes[0].create(record("j"))
		wait(50 * time.Millisecond)
		for i := range 50 {
			r.stub.Put(fmt.Sprintf("%sforeign%d", durable.OpenPrefix, i), []byte(strings.Repeat("[", 20_000)))
			r.stub.Put(fmt.Sprintf("%sforeign%d", durable.OwnersPrefix, i), bytes.Repeat([]byte{0xff}, 1000))
		}
		r.kill(r.nodes[0])
		wait(10 * time.Second)
		r.Check(r.owners("j"), qt.Equals, 1)
		r.Check(scope.Snapshot().Counters()["durable_unreadable+"].Value(), qt.Equals, int64(50))
		wait(time.Minute) // further scans
		r.Check(scope.Snapshot().Counters()["durable_unreadable+"].Value(), qt.Equals, int64(50))
		r.nodes[1].stop()
		wait(time.Minute)
		r.Check(strings.Count(log.String(), "unreadable\""), qt.Equals, 11)
	})
}
