package store_test

import (
	"context"
	"strings"
	"testing"

	"chicorytray.example/chicorytray/store"
	"chicorytray.example/chicorytray/wire"
)

// listStore is a store with one key.
type listStore struct {
	store.Store
	kv store.KV
}

func (s listStore) List(context.Context, string) ([]store.KV, error) { return []store.KV{s.kv}, nil }

// Guards against a registration that takes its readers down, that they dial although
// it names no host, or that differs when it is registered again.
func FuzzEntries(f *testing.F) {
	ref := wire.EntryRef{ID: "e", Incarnation: 1 << 63, Address: "10.0.0.1:80", Admin: "10.0.0.1:81", DataCentre: "anping"}
	valid, _ := store.EncodeEntry(ref)
	for _, value := range []string{string(valid), "", "null", strings.Repeat("[", 20_000), `{"id":"e","incarnation":"-1"}`,
		strings.Replace(string(valid), "10.0.0.1:80", "[::ffff:0.0.0.0%25]:65536", 1)} {
		f.Add("entries/e", []byte(value))
		f.Add("entries/", []byte(value))
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		refs, unusable, err := store.Entries(context.Background(), listStore{kv: store.KV{Key: key, Value: value, Revision: 1}})
		if err != nil || len(refs)+unusable.Count != 1 || unusable.Count == 1 && unusable.Reason == nil {
			t.Fatal(refs, unusable, err)
		}
		if unusable.Count == 1 {
			if n := len(unusable.Reason.Error()); n > 1000 {
				t.Fatalf("the reason has %d bytes", n)
			}
			return
		}
		if err := refs[0].Validate(); err != nil || !wire.Dialable(refs[0].Address) || key != store.EntriesPrefix+refs[0].ID {
			t.Fatalf("%+v under %q: %v", refs[0], key, err)
		}
		encoded, err := store.EncodeEntry(refs[0])
		if err != nil {
			t.Fatal(err)
		}
		again, _, _ := store.Entries(context.Background(), listStore{kv: store.KV{Key: key, Value: encoded, Revision: 1}})
		if len(again) != 1 || again[0] != refs[0] {
			t.Fatalf("%+v is registered as %+v", refs[0], again)
		}
	})
}
