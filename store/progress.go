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
// with it for the time stall, and after maxTransfer at the latest. A fixed timeout
// would make a read fail for ever whose answer is larger than the link carries in
// that time. The cause of the end is context.DeadlineExceeded.
func WithStallTimeout(parent context.Context, stall time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancelTotal := context.WithTimeout(parent, max(stall, maxTransfer))
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(stall, func() { cancel(context.DeadlineExceeded) })
	report := func() {
		if timer.Stop() { // a timer that has fired has ended the context
			timer.Reset(stall)
		}
		ReportProgress(parent)
	}
	return context.WithValue(ctx, progressKey{}, report), func() {
		timer.Stop()
		cancel(context.Canceled)
		cancelTotal()
	}
}

// ReportProgress reports that a part of the answer to the call with the context
// has arrived. It does nothing for other contexts than those of WithStallTimeout.
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
