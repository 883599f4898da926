package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"strings"
	"time"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/wire"
)

// maxGate is the bound of guarantee 3 of the design: no task starts in a data
// centre later than 3 s after operators took it out of service.
const maxGate = 3 * time.Second

// maxSlots is the largest number of tasks that an agent runs at a time.
const maxSlots = 10000

// namePattern is the form of identifiers. They appear in store keys, in job
// identifiers and in logs.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)

const (
	acceptedName    = "1 to 63 letters, digits, dots, hyphens or underscores, beginning with a letter or digit"
	acceptedAddress = "an IP address with a port from 1 to 65535, for example 127.0.0.1:7101"
)

// Validate checks e as LoadEntry does. The error is an *Error without a file
// name.
func (e Entry) Validate() error { return e.problems().err("") }

// Validate checks a as LoadAgent does. The error is an *Error without a file
// name.
func (a Agent) Validate() error { return a.problems().err("") }

func (e Entry) problems() problems {
	var ps problems
	ps.name("id", e.ID)
	ps.name("data_centre", e.DataCentre)
	ps.listenAddress("caller_address", e.CallerAddress)
	ps.advertisedAddress("peer_address", e.PeerAddress)
	ps.advertisedAddress("admin_address", e.AdminAddress)
	ps.distinct([]string{"caller_address", "peer_address", "admin_address"},
		[]string{e.CallerAddress, e.PeerAddress, e.AdminAddress})
	ps.seeds(e.Seeds)
	ps.store(e.Store)
	ps.timing(e.Timing)
	ps.limits(e.Limits)
	ps.clientLimits(e.Limits)
	ps.oneOf("codec", e.Codec, CodecGob, CodecMsgpack)
	ps.oneOf("placement", e.Placement, Placements()...)
	ps.oneOf("order", e.Order, Orders()...)
	ps.admission(e.Admission, e.Order)
	ps.atLeast("objective_min_agents", int64(e.ObjectiveMinAgents), 0)
	ps.forwarding(e.Forwarding, e.PoolLoads)
	ps.unevenWorkers(e.UnevenWorkers, e.Placement)
	ps.tls("caller_tls", e.CallerTLS, false)
	ps.tls("peer_tls", e.PeerTLS, true)
	ps.oneOf("log.level", e.Log.Level, "debug", "info", "warn", "error")
	return ps
}

func (a Agent) problems() problems {
	var ps problems
	ps.name("id", a.ID)
	ps.name("data_centre", a.DataCentre)
	ps.name("worker", a.Worker)
	ps.advertisedAddress("peer_address", a.PeerAddress)
	ps.advertisedAddress("admin_address", a.AdminAddress)
	ps.distinct([]string{"peer_address", "admin_address", "upstream"},
		[]string{a.PeerAddress, a.AdminAddress, a.Upstream})
	ps.oneOf("sharing", a.Sharing, SharingTasks, SharingSlack)
	ps.atLeast("max_entries", int64(a.MaxEntries), 1)
	ps.atLeast("max_records", int64(a.MaxRecords), 1)
	ps.atLeast("max_message_bytes", a.MaxMessageBytes, config.MaxDocumentBytes+mib)
	ps.agentLimits(a)
	ps.seeds(a.Seeds)
	ps.store(a.Store)
	ps.timing(a.Timing)
	ps.oneOf("codec", a.Codec, CodecGob, CodecMsgpack)
	ps.tls("peer_tls", a.PeerTLS, true)
	ps.oneOf("log.level", a.Log.Level, "debug", "info", "warn", "error")
	if a.Leased != nil {
		ps.notAnnouncedByWorker(a)
		ps.leased(*a.Leased, a.Timing)
	} else {
		ps.upstream(a)
		// Sessions of HTTP tasks are extended by heartbeats and messages only.
		ps.longerThan("timing.lapse", a.Timing.Lapse, a.Timing.IdleInterval(), "idle_heartbeat")
	}
	return ps
}

// upstream checks the fields that describe an HTTP upstream.
func (ps *problems) upstream(a Agent) {
	ps.name("rack", a.Rack)
	ps.advertisedAddress("upstream", a.Upstream)
	if a.HealthPath != "" && !strings.HasPrefix(a.HealthPath, "/") {
		ps.add("health_path", a.HealthPath, "empty, or a path beginning with a slash")
	}
	ps.inRange("slots", int64(a.Slots), 1, maxSlots)
	ps.inRange("queue_limit", int64(a.QueueLimit), 0, int64(a.Slots))
	ps.inRange("connections", int64(a.Connections), int64(a.Slots), 100000)
	ps.atLeast("capacity.accelerators", int64(a.Capacity.Accelerators), 0)
	ps.atLeast("capacity.memory_mb", a.Capacity.MemoryMB, 0)
	ps.atLeast("capacity.milli_cpu", a.Capacity.MilliCPU, 0)
}

// notAnnouncedByWorker checks that the fields that a worker of leased tasks
// announces itself are not set.
func (ps *problems) notAnnouncedByWorker(a Agent) {
	for _, f := range []struct {
		field, value string
	}{
		{"rack", a.Rack}, {"upstream", a.Upstream}, {"health_path", a.HealthPath},
		{"slots", formatNonZero(int64(a.Slots))}, {"connections", formatNonZero(int64(a.Connections))},
		{"capacity.accelerators", formatNonZero(int64(a.Capacity.Accelerators))},
		{"capacity.memory_mb", formatNonZero(a.Capacity.MemoryMB)}, {"capacity.milli_cpu", formatNonZero(a.Capacity.MilliCPU)},
	} {
		if f.value != "" {
			ps.add(f.field, f.value, "left out with leased, because the worker announces it")
		}
	}
	ps.inRange("queue_limit", int64(a.QueueLimit), 0, maxSlots)
}

// formatNonZero formats n. It returns an empty string for 0, which stands for a
// field that is not given.
func formatNonZero(n int64) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n)
}

func (ps *problems) name(field, value string) {
	if !namePattern.MatchString(value) {
		ps.add(field, value, acceptedName)
	}
}

func (ps *problems) oneOf(field, value string, accepted ...string) {
	for _, a := range accepted {
		if value == a {
			return
		}
	}
	ps.add(field, value, strings.Join(accepted, ", "))
}

// admission checks the rule of admission. "objective" counts work in the order "due".
func (ps *problems) admission(value, order string) {
	if value == AdmissionObjective && order != OrderDue {
		ps.add("admission", value, AdmissionDeadline+"; "+AdmissionObjective+` with order "`+OrderDue+`"`)
		return
	}
	ps.oneOf("admission", value, Admissions()...)
}

func (ps *problems) inRange(field string, value, low, high int64) {
	if value < low || value > high {
		ps.add(field, fmt.Sprint(value), fmt.Sprintf("%d to %d", low, high))
	}
}

func (ps *problems) atLeast(field string, value, low int64) {
	if value < low {
		ps.add(field, fmt.Sprint(value), fmt.Sprintf("%d or more", low))
	}
}

// listenAddress checks an address that the process listens on and that no other
// process learns from it, so that it may be a wildcard address.
func (ps *problems) listenAddress(field, value string) {
	if a, err := netip.ParseAddrPort(value); err != nil || a.Port() == 0 {
		ps.add(field, value, acceptedAddress)
	}
}

// advertisedAddress checks an address that other processes dial, so that it must
// not be a wildcard address.
func (ps *problems) advertisedAddress(field, value string) {
	if !wire.Dialable(value) {
		ps.add(field, value, acceptedAddress+"; not 0.0.0.0 or ::, because other processes dial it")
	}
}

// distinct requires that no two of the values are equal; empty ones are ignored.
func (ps *problems) distinct(fields, values []string) {
	for i := range values {
		for j := range i {
			if values[i] != "" && values[i] == values[j] {
				ps.add(fields[i], values[i], "an address other than that of "+fields[j])
				return
			}
		}
	}
}

func (ps *problems) seeds(seeds []string) {
	for i, s := range seeds {
		ps.advertisedAddress(fmt.Sprintf("seeds[%d]", i), s)
	}
}

func (ps *problems) store(s Store) {
	const accepted = `http or https with an IP address and a port, for example "http://127.0.0.1:7000"`
	u, err := url.Parse(s.URL)
	switch {
	case err != nil || (u.Scheme != "http" && u.Scheme != "https"), u.Path != "" && u.Path != "/",
		u.RawQuery != "", u.Fragment != "", u.User != nil:
		ps.add("store.url", s.URL, accepted)
	default:
		if a, err := netip.ParseAddrPort(u.Host); err != nil || a.Port() == 0 {
			ps.add("store.url", s.URL, accepted)
		}
	}
	if !(s.MaxCallsPerSecond > 0) {
		ps.add("store.max_calls_per_second", fmt.Sprint(s.MaxCallsPerSecond), "more than 0")
	}
}

// tls checks that the files of one side are complete. mutual requires CAFile.
func (ps *problems) tls(field string, t TLS, mutual bool) {
	if t == (TLS{}) {
		return
	}
	for _, f := range []struct {
		name, value string
		required    bool
	}{{"cert_file", t.CertFile, true}, {"key_file", t.KeyFile, true}, {"ca_file", t.CAFile, mutual}} {
		if f.required && f.value == "" {
			ps.add(field+"."+f.name, "", "the path of a PEM file, since another file of "+field+" is given")
		}
	}
}

func (ps *problems) limits(l Limits) {
	ps.atLeast("limits.max_body_bytes", l.MaxBodyBytes, 1)
	ps.atLeast("limits.max_result_bytes", l.MaxResultBytes, 1)
	ps.atLeast("limits.max_answer_bytes", l.MaxAnswerBytes, l.MaxResultBytes)
	ps.atLeast("limits.max_header_bytes", int64(l.MaxHeaderBytes), 1<<10)
	ps.atLeast("limits.max_durable_jobs", int64(l.MaxDurableJobs), 0)
	ps.positive("limits.max_deadline", l.MaxDeadline)
	ps.positive("limits.answer_retention", l.AnswerRetention)
	ps.longerThan("limits.claim_retention", l.ClaimRetention, l.MaxDeadline.AsDuration(), "limits.max_deadline")
	// One message carries the request of a task, or its result, with headers, or a
	// configuration document.
	largest := max(l.MaxBodyBytes, l.MaxResultBytes, config.MaxDocumentBytes)
	if l.MaxMessageBytes-int64(l.MaxHeaderBytes) < largest {
		ps.add("limits.max_message_bytes", fmt.Sprint(l.MaxMessageBytes),
			fmt.Sprintf("not less than the largest body, result or configuration document (%d) plus max_header_bytes", config.MaxDocumentBytes))
	}
}
