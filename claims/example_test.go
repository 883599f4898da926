package claims_test

import (
	"fmt"
	"time"

	"chicorytray.example/chicorytray/claims"
)

// A key belongs to the first job that claims it, until the retention period ends.
func ExampleShard() {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	shard, err := claims.DecodeShard(nil)
	if err != nil {
		panic(err)
	}
	first := claims.Claim{Key: "order-7", Account: "gift-office", Fingerprint: "f1", Job: "entry-1-1"}
	second := first
	second.Job = "entry-2-9"
	for _, c := range []claims.Claim{first, second} {
		owner, won, err := shard.Claim(now, 10*time.Minute, c)
		fmt.Println(owner.Job, won, err)
	}
	fmt.Println(shard.Expire(now.Add(time.Hour)), "expired")
	// Output:
	// entry-1-1 true <nil>
	// entry-1-1 false <nil>
	// 1 expired
}
