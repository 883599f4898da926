package claims

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// Guards against a stored shard that takes the entry down, that loses a claim when it
// is written again, or whose size is taken for less than it is, so that it outgrows
// the store's limit unnoticed.
func FuzzDecodeShard(f *testing.F) {
	now := time.Unix(1_800_000_000, 0)
	c := Claim{Key: "k", Account: "a", Fingerprint: "f", Job: "j"}
	s, _ := DecodeShard(nil)
	_, _, _ = s.Claim(now, time.Hour, c)
	valid, _ := s.Encode()
	for _, seed := range [][]byte{valid, nil, []byte("null"), []byte(`{"v":1}`), []byte(`{"v":1,"claims":{"":{"e":-9223372036854775808}}}`),
		[]byte(`{"v":1,"claims":{"\u0000":{"f":"` + strings.Repeat(`\u0000`, 20) + `","j":"\"\\","e":1}}}`), bytes.Repeat([]byte("["), 20_000),
		[]byte(`{"v":1,"claims":` + strings.Repeat(`{"a":`, 9_000)), append(bytes.Clone(valid), valid...)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := DecodeShard(data)
		if err != nil {
			return
		}
		before := s.Len()
		encoded, err := s.Encode()
		if err != nil || len(encoded) > s.size {
			t.Fatalf("encoded to %d bytes, counted as %d (%v)", len(encoded), s.size, err)
		}
		again, err := DecodeShard(encoded)
		if err != nil || again.Len() != before || again.size != s.size {
			t.Fatalf("%q is written as %q (%v)", data, encoded, err)
		}
		owner, owned := s.Owner(c)
		if got, won, err := s.Claim(now, time.Hour, c); err == nil && owned && (got != owner || won != (owner.Job == c.Job)) {
			t.Fatalf("owned by %+v, claimed by %+v", owner, got)
		}
		s.Expire(now)
		s.Release(c)
		if s.size < emptyShardBytes {
			t.Fatalf("size %d", s.size)
		}
	})
}
