package ctl

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/store"
)

// outageAfterWrite is a store that becomes unavailable after it accepted a write.
type outageAfterWrite struct{ *storestub.Stub }

func (s outageAfterWrite) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, id store.LeaseID) (store.KV, error) {
	kv, err := s.Stub.CompareAndSwap(ctx, key, expect, value, id)
	s.SetDown(true)
	return kv, err
}

// Guards against a change that the store accepts just before an outage and that
// is not pushed to any entry, because the list of entries is read from the store
// only after the write.
func TestChangeBeforeAnOutageIsPushed(t *testing.T) {
	deploy(t, func(d *deployment) {
		d.run(ExitOK, "apply", d.writeDocument(unchanged))
		o := New(Options{Store: outageAfterWrite{d.stub}, Transport: d.net})
		_, err := o.Edit(context.Background(), Assignments([]string{"templates[proof].urgency=5"}))
		d.Check(err, qt.IsNil)
		d.Check(d.a.generation, qt.Equals, uint64(2))
		d.Check(d.b.generation, qt.Equals, uint64(2))
	})
}
