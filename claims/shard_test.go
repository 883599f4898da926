package claims_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/claims"
	"chicorytray.example/chicorytray/store"
)

// Guards against a shard that the store refuses because it is too large: a full
// shard must fit, and must accept claims again after its claims have expired.
func TestFullShardFitsTheStore(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	shard, err := claims.DecodeShard(nil)
	c.Assert(err, qt.IsNil)
	made := 0
	for ; err == nil; made++ {
		claim := claims.Claim{
			Key: fmt.Sprint("key", made), Account: "a", Fingerprint: strings.Repeat("f", 64),
			Job: fmt.Sprintf("entry-1.0123456789abcdef.%d", made),
		}
		_, _, err = shard.Claim(now, 10*time.Minute, claim)
	}
	c.Check(err, qt.ErrorIs, claims.ErrShardFull)
	c.Check(shard.Len(), qt.Equals, made-1)
	c.Check(made > 5000, qt.IsTrue, qt.Commentf("%d claims", made))
	data, err := shard.Encode()
	c.Assert(err, qt.IsNil)
	c.Check(len(data) <= claims.MaxShardBytes, qt.IsTrue)
	c.Check(len(data) <= store.MaxValueBytes, qt.IsTrue)

	again, err := claims.DecodeShard(data)
	c.Assert(err, qt.IsNil)
	c.Check(again.Len(), qt.Equals, shard.Len())
	c.Check(again.Expire(now.Add(10*time.Minute)), qt.Equals, 0)
	c.Check(again.Expire(now.Add(time.Hour)), qt.Equals, made-1)
	_, won, err := again.Claim(now, 10*time.Minute, claimOf("key", "job"))
	c.Assert(err, qt.IsNil)
	c.Check(won, qt.IsTrue)
}

// Guards against accepting claims whose stored size is not bounded, or whose
// fields are missing so that different submissions share one claim, and against
// decoding a malformed shard.
func TestInvalidClaims(t *testing.T) {
	c := qt.New(t)
	shard, err := claims.DecodeShard(nil)
	c.Assert(err, qt.IsNil)
	valid := claimOf("k", "job")
	for name, change := range map[string]func(*claims.Claim){
		"no key": func(c *claims.Claim) { c.Key = "" }, "long key": func(c *claims.Claim) { c.Key = strings.Repeat("k", 256) },
		"no account": func(c *claims.Claim) { c.Account = "" }, "no job": func(c *claims.Claim) { c.Job = "" },
		"job with a quote":         func(c *claims.Claim) { c.Job = `a"b` },
		"job that is not ASCII":    func(c *claims.Claim) { c.Job = "é" },
		"fingerprint with a space": func(c *claims.Claim) { c.Fingerprint = "a b" },
		"no fingerprint":           func(c *claims.Claim) { c.Fingerprint = "" },
	} {
		claim := valid
		change(&claim)
		_, won, err := shard.Claim(time.Now(), time.Minute, claim)
		c.Check(won, qt.IsFalse)
		c.Check(err, qt.ErrorIs, claims.ErrInvalidClaim, qt.Commentf(name))
	}
	c.Check(shard.Len(), qt.Equals, 0)
	for _, data := range []string{"null", "x", `{"v":2,"claims":{}}`, `{"v":1,"claims":[]}`, `{"v":1,"keys":{}}`} {
		_, err := claims.DecodeShard([]byte(data))
		c.Check(errors.Is(err, claims.ErrUnreadable), qt.IsTrue, qt.Commentf(data))
	}
}

// BenchmarkBatchOnFullShard measures decoding, expiring and encoding a full shard.
// This cost limits the rate of submissions with idempotency keys.
func BenchmarkBatchOnFullShard(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	shard, _ := claims.DecodeShard(nil)
	var err error
	for i := 0; err == nil; i++ {
		_, _, err = shard.Claim(now, time.Hour, claimOf(fmt.Sprint(i), fmt.Sprintf("entry-1.0123456789abcdef.%d", i)))
	}
	data, err := shard.Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(data)))
	b.ReportMetric(float64(shard.Len()), "claims")
	for b.Loop() {
		s, err := claims.DecodeShard(data)
		if err != nil {
			b.Fatal(err)
		}
		s.Expire(now)
		if _, err := s.Encode(); err != nil {
			b.Fatal(err)
		}
	}
}
