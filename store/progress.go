package store

import (
	"context"
	"io"
	"time"
)

// maxTransfer bounds a call of which parts of the answer keep arriving. A
// configuration of 1 MB takes 5.5 s on a link of 2 Mbit/s in base64.
const maxTransfer = 30 * time.Second

// progressKey is the key of the progress function in a context.
type progressKey struct{}

// WithStallTimeout returns a context that ends when ReportProgress was not called
// with it for the time first, or after the first call for the time stall, and after
// maxTransfer (first, if that is longer) at the latest. A fixed timeout would make a
// read fail for ever whose answer is larger than the link carries in that time. A
// watch gives its wait in first only: an answer that has begun to arrive and makes no
// progress is given up as soon as that of a read. The cause of the end is
// context.DeadlineExceeded.
func WithStallTimeout(parent context.Context, first, stall time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancelTotal := context.WithTimeout(parent, max(first, maxTransfer))
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(first, func() { cancel(context.DeadlineExceeded) })
	report := func() {
		if timer.Stop() { // a timer that has fired has ended the context
			timer.Reset(stall)
		}
	}
	return NotifyProgress(ctx, report), func() {
		timer.Stop()
		cancel(context.Canceled)
		cancelTotal()
	}
}

// NotifyProgress returns a context with which ReportProgress calls f, and then does
// what it does for parent.
func NotifyProgress(parent context.Context, f func()) context.Context {
	return context.WithValue(parent, progressKey{}, func() {
		f()
		ReportProgress(parent)
	})
}

// ReportProgress reports that a part of the answer to the call with the context
// has arrived. It does nothing for other contexts than those of WithStallTimeout and
// NotifyProgress.
func ReportProgress(ctx context.Context) {
	if report, ok := ctx.Value(progressKey{}).(func()); ok {
		report()
	}
}

// ProgressReader returns a reader of an answer's body that reports progress for
// the context each time a part of the body has arrived.
func ProgressReader(ctx context.Context, body io.Reader) io.Reader {
	return progressReader{ctx, body}
}

type progressReader struct {
	ctx  context.Context
	body io.Reader
}

func (r progressReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if n > 0 {
		ReportProgress(r.ctx)
	}
	return n, err
}
