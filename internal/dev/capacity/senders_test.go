package capacity

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a measurement that counts as valid although a stand-in that sends
// tasks has failed, and against an error only because the measurement has ended.
func TestErrorsOfSenders(t *testing.T) {
	errSend := errors.New("refused")
	ctx, end := context.WithCancel(context.Background())
	works := func(context.Context) (int, error) { return 3, nil }
	fails := func(context.Context) (int, error) { return 2, errSend }
	done, err := sumDone(ctx, []func(context.Context) (int, error){works, fails, works})
	qt.Check(t, done, qt.Equals, 8)
	qt.Check(t, err, qt.ErrorIs, errSend)
	end()
	done, err = sumDone(ctx, []func(context.Context) (int, error){works, fails})
	qt.Check(t, done, qt.Equals, 5)
	qt.Check(t, err, qt.IsNil)
}
