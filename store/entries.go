package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"github.com/ansel1/merry/v2"

	"chicorytray.example/chicorytray/wire"
)

// EntriesPrefix is the prefix of the keys under which entries are registered. The
// rest of a key is the entry's identifier.
const EntriesPrefix = "entries/"

// entryValue is the JSON form of a registration. The incarnation is a string of
// hexadecimal digits, because JSON tools round integers above 2^53.
type entryValue struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Admin       string `json:"admin"`
	DataCentre  string `json:"data_centre"`
}

// EncodeEntry returns the value of an entry's registration.
func EncodeEntry(ref wire.EntryRef) ([]byte, error) {
	value, err := json.Marshal(entryValue{ref.ID, ref.Incarnation.String(), ref.Address, ref.Admin, ref.DataCentre})
	if err != nil {
		return nil, merry.Prepend(err, "store: encode registration")
	}
	return value, nil
}

// decodeEntry returns the entry that a key registers. The error says why the value is
// not the registration of an entry that others can dial.
func decodeEntry(kv KV) (wire.EntryRef, error) {
	var v entryValue
	if err := json.Unmarshal(kv.Value, &v); err != nil {
		// The error of encoding/json may quote the whole value.
		return wire.EntryRef{}, errors.New("not a JSON object with the fields of a registration")
	}
	incarnation, err := strconv.ParseUint(v.Incarnation, 16, 64)
	if err != nil {
		return wire.EntryRef{}, errors.New("the incarnation is not a hexadecimal number of 64 bits")
	}
	ref := wire.EntryRef{
		ID: v.ID, Incarnation: wire.Incarnation(incarnation), Address: v.Address, Admin: v.Admin, DataCentre: v.DataCentre,
	}
	if err := ref.Validate(); err != nil {
		return wire.EntryRef{}, err
	}
	if EntriesPrefix+v.ID != kv.Key {
		return wire.EntryRef{}, fmt.Errorf("the value names the entry %q", v.ID)
	}
	return ref, nil
}

// Unusable describes the keys under EntriesPrefix that are not the registration of
// an entry. Another writer left them.
type Unusable struct {
	Count  int
	Key    string // the first one
	Reason error  // of the first one; at most a few hundred bytes
}

// Entries returns the entries that are registered, ordered by identifier, and the
// keys that are left out.
func Entries(ctx context.Context, s Store) (refs []wire.EntryRef, unusable Unusable, err error) {
	list, err := s.List(ctx, EntriesPrefix)
	if err != nil {
		return nil, Unusable{}, err
	}
	for _, kv := range list {
		ref, err := decodeEntry(kv)
		if err == nil {
			refs = append(refs, ref)
			continue
		}
		if unusable.Count++; unusable.Count == 1 {
			unusable.Key, unusable.Reason = kv.Key, err
		}
	}
	return refs, unusable, nil
}
