package settings

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// platformTiming holds the intervals of section 13.3 of docs/design.md as fields
// of a JSON object.
const platformTiming = `"heartbeat":"150ms","peer_heartbeat":"350ms","suspect":"400ms","lapse":"500ms",` +
	`"reconcile":"1300ms","gate":"3s","ping_after":"250ms","ping_timeout":"150ms"`

const leasedAgent = `{"id":"a1","data_centre":"dc1","worker":"w1","peer_address":"127.0.0.1:7201",
	"admin_address":"127.0.0.1:7202","store":{"url":"http://127.0.0.1:7000"},"leased":{},"timing":{` + platformTiming + `}}`

// Guards against defaults of leased tasks that differ from those in the comments
// of types.go, and against requiring the fields of an HTTP upstream.
func TestLeasedDefaults(t *testing.T) {
	c := qt.New(t)
	a, err := parseAgent("a.json", []byte(leasedAgent))
	c.Assert(err, qt.IsNil)
	c.Check(*a.Leased, qt.Equals, DefaultLeased())
	c.Check(a.QueueLimit, qt.Equals, DefaultQueueLimit)
	c.Check(a.Connections, qt.Equals, 0)
	some, err := parseAgent("a.json", []byte(strings.Replace(leasedAgent, `"leased":{}`, `"leased":{"renew":"100ms"},"queue_limit":0`, 1)))
	c.Assert(err, qt.IsNil)
	c.Check(some.Leased.Renew.AsDuration(), qt.Equals, 100*time.Millisecond)
	c.Check(some.Leased.Lease.AsDuration(), qt.Equals, 450*time.Millisecond)
	c.Check(some.QueueLimit, qt.Equals, 0)
}

// Guards against accepting intervals with which two runs of a task could overlap,
// and fields that the worker announces itself.
func TestFaultyLeasedFilesAreRejected(t *testing.T) {
	leased := func(s string) string { return strings.Replace(leasedAgent, `"leased":{}`, `"leased":{`+s+`}`, 1) }
	timing := func(old, s string) string { return strings.Replace(leasedAgent, old, s, 1) }
	for _, tc := range []struct{ name, document, want string }{
		{"rack", with(leasedAgent, `"rack":"r1"`), `rack: "r1" is not accepted; accepted: left out with leased, .*`},
		{"upstream", with(leasedAgent, `"upstream":"127.0.0.1:7300"`), `upstream: .* left out .*`},
		{"health path", with(leasedAgent, `"health_path":"/h"`), `health_path: .* left out .*`},
		{"slots", with(leasedAgent, `"slots":8`), `slots: "8" .* left out .*`},
		{"connections", with(leasedAgent, `"connections":64`), `connections: .* left out .*`},
		{"capacity", with(leasedAgent, `"capacity":{"milli_cpu":1}`), `capacity\.milli_cpu: .* left out .*`},
		{"queue limit", with(leasedAgent, `"queue_limit":-1`), `queue_limit: "-1" .*0 to 10000`},
		{"no worker", strings.Replace(leasedAgent, `"worker":"w1",`, "", 1), `worker: .*`},
		{"null", strings.Replace(leasedAgent, `"leased":{}`, `"leased":null`, 1), `leased: null .*`},
		{"unknown field", leased(`"lase":"1s"`), `leased\.lase: unknown field.*`},
		{"no time to stall", leased(`"stall_after":"0s"`), `leased\.stall_after: "0s" .*more than 0s.*`},
		{"stall within a renewal", leased(`"stall_after":"150ms"`), `leased\.stall_after: "150ms" .*more than 150ms \(renew\).*`},
		{"no time to stop", leased(`"stop_time":"0s"`), `leased\.stop_time: "0s" .*more than 0s.*`},
		{"lease within two lost answers", leased(`"order_timeout":"175ms","renew":"100ms"`), `leased\.lease: "450ms" .*more than 450ms \(renew \+ 2 order_timeout\).*`},
		{"lease within a lost renewal", leased(`"renew":"175ms"`), `leased\.lease: "450ms" .*more than 450ms \(2 renew \+ order_timeout\).*`},
		{"lease longer than a worker's", leased(`"lease":"1100ms","resend":"3s"`), `leased\.lease: "1\.1s" .*at most 1s.*`},
		{"order that outlives the lease", leased(`"order_validity":"451ms"`), `leased\.order_validity: .*at most 450ms \(lease\).*`},
		{"order that ends before a renewal", leased(`"order_validity":"250ms"`), `leased\.order_validity: .*more than 250ms.*`},
		{"resend", leased(`"resend":"1284ms"`), `leased\.resend: "1\.284s" .*more than 1\.284s \(timing\.lapse .*\).*`},
		{"reconcile", timing(`"1300ms"`, `"1134ms"`), `timing\.reconcile: "1\.134s" .*more than 1\.134s \(timing\.lapse .*\).*`},
		{"lapse", timing(`"500ms"`, `"517ms"`), `leased\.resend: "1\.3s" .*more than 1\.301s.*`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := parseAgent("a.json", []byte(tc.document))
			qt.Check(t, err, qt.ErrorMatches, `(?s).*a\.json: `+tc.want)
		})
	}
}
