package store_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/store"
)

// Guards against a call that ends although its answer keeps arriving, that goes on
// after the answer has stopped arriving (for 20 s if it was the answer to a watch),
// or that lasts for ever; and against a stall that counts as a cancellation by the caller.
func TestStallTimeout(t *testing.T) {
	for _, tc := range []struct {
		name     string
		first    time.Duration // time until the answer has to begin
		progress time.Duration // interval of the reports; 0: none
		until    time.Duration // of the last report
		want     time.Duration // end of the context
	}{
		{"no answer", time.Second, 0, 0, time.Second},
		{"answer stops", time.Second, 900 * time.Millisecond, 4 * time.Second, 4600 * time.Millisecond},
		{"watch without an answer", 20 * time.Second, 0, 0, 20 * time.Second},
		{"answer to a watch stops", 20 * time.Second, 5 * time.Second, 6 * time.Second, 6 * time.Second},
		{"answer never ends", time.Second, 900 * time.Millisecond, time.Hour, 30 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				began := time.Now()
				outer, cancelOuter := store.WithStallTimeout(context.Background(), tc.first, time.Second)
				defer cancelOuter()
				ctx, cancel := store.WithStallTimeout(outer, tc.first, time.Second)
				defer cancel()
				ended := make(chan time.Duration, 1)
				context.AfterFunc(ctx, func() { ended <- time.Since(began) })
				for tc.progress > 0 && ctx.Err() == nil && time.Since(began)+tc.progress < tc.until {
					time.Sleep(tc.progress)
					store.ReportProgress(ctx)
				}
				c.Check(<-ended, qt.Equals, tc.want)
				c.Check(errors.Is(context.Cause(ctx), context.DeadlineExceeded), qt.IsTrue)
			})
		})
	}
}
