package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"chicorytray.example/chicorytray/internal/clientlimit"
)

// jobBytes and taskBytes are charged for a waiting job beside its specification or
// body, and for each of its tasks.
const jobBytes, taskBytes = 4 << 10, 512

// waitingBytes is the memory of the jobs whose callers wait.
type waitingBytes struct {
	limit   int64 // 0 means none
	used    atomic.Int64
	gauge   tally.Gauge
	refused tally.Counter
}

// acquire reserves the memory of a job. It returns a function that releases it, or a
// problem with status 503.
func (w *waitingBytes) acquire(content, tasks int) (release func(), err error) {
	n := int64(jobBytes + content + tasks*taskBytes)
	for {
		used := w.used.Load()
		if w.limit > 0 && used+n > w.limit && used > 0 { // a single job always fits
			w.refused.Inc(1)
			return nil, retryLater(time.Second, reasonShortOfMemory, "the jobs that wait take %d bytes; the limit is %d", used, w.limit)
		}
		if w.used.CompareAndSwap(used, used+n) {
			break
		}
	}
	w.gauge.Update(float64(w.used.Load()))
	return func() { w.gauge.Update(float64(w.used.Add(-n))) }, nil
}

// acquireWaiting reserves the memory of the submission's job, which is released by the
// returned function, and gives back what was reserved for reading it.
func (e *Entry) acquireWaiting(ctx context.Context, s *submission) (release func(), err error) {
	release, err = e.guards.waiting.acquire(2*len(s.fingerprintInput)+len(s.request.Spec), taskCount(s))
	clientlimit.Decoded(ctx)
	return release, err
}
