package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a wait that ends early, or that continues after its context has
// ended or wake has received a value.
func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		begin := time.Now()
		c.Check(For(ctx, 3*time.Second, nil), qt.IsTrue)
		c.Check(time.Since(begin), qt.Equals, 3*time.Second)
		c.Check(For(ctx, 0, nil), qt.IsTrue)
		wake := make(chan struct{}, 1)
		wake <- struct{}{}
		c.Check(For(ctx, time.Hour, wake), qt.IsTrue)
		c.Check(time.Since(begin), qt.Equals, 3*time.Second)
		c.Check(For(ctx, time.Hour, wake), qt.IsFalse)
		c.Check(time.Since(begin), qt.Equals, 10*time.Second)
		c.Check(For(ctx, 0, nil), qt.IsFalse)
	})
}

// Guards against ticks that accumulate while nobody receives them, and against a
// ticker that continues after Stop.
func TestTicker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		begin := time.Now()
		k := NewTicker(time.Second)
		<-k.C
		<-k.C
		c.Check(time.Since(begin), qt.Equals, 2*time.Second)
		time.Sleep(5500 * time.Millisecond)
		<-k.C // one of the five ticks since then; the others were dropped
		<-k.C
		c.Check(time.Since(begin), qt.Equals, 8*time.Second)
		k.Stop()
		time.Sleep(time.Minute)
		c.Check(len(k.C), qt.Equals, 0)
	})
}
