package settings

import (
	"math"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"chicorytray.example/chicorytray/internal/strictjson"
)

// Defaults of the settings of entries and agents.
const (
	mib = 1 << 20
	// DefaultMaxMessageBytes is the default limit on one message between
	// processes. It leaves room for the largest request body of the default
	// limits with its headers.
	DefaultMaxMessageBytes = 16 * mib
	// DefaultStoreCallsPerSecond is the default limit on the store calls of one
	// process. With it, 40 entries together stay within the 2,000 reads per
	// second that the store allows.
	DefaultStoreCallsPerSecond = 50
	// DefaultQueueLimit is the default of Agent.QueueLimit, in tasks.
	DefaultQueueLimit = 2
	// DefaultMaxForwardsPerPeer and DefaultMaxForwards are the defaults of Forwarding.
	DefaultMaxForwardsPerPeer = 64
	DefaultMaxForwards        = 256
	// DefaultConnections is the default of Agent.Connections.
	DefaultConnections = 64
)

// DefaultTiming returns the default intervals; see section 5 of docs/design.md.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:     Duration(500 * time.Millisecond),
		PeerHeartbeat: Duration(time.Second),
		ConfigRead:    Duration(time.Second),
		Suspect:       Duration(1500 * time.Millisecond),
		Gate:          Duration(2 * time.Second),
		Lapse:         Duration(3 * time.Second),
		Reconcile:     Duration(5 * time.Second),
		PingAfter:     Duration(time.Second),
		PingTimeout:   Duration(500 * time.Millisecond),
		CallTimeout:   Duration(time.Second),
		StoreTimeout:  Duration(time.Second),
		LeaseTTL:      Duration(10 * time.Second),
		StopNotice:    Duration(5 * time.Second),
	}
}

// DefaultLeased returns the default intervals of leased tasks; see section 13 of
// docs/design.md.
func DefaultLeased() Leased {
	return Leased{
		Lease:         Duration(450 * time.Millisecond),
		Renew:         Duration(150 * time.Millisecond),
		OrderTimeout:  Duration(100 * time.Millisecond),
		OrderValidity: Duration(300 * time.Millisecond),
		StopTime:      Duration(50 * time.Millisecond),
		Resend:        Duration(1300 * time.Millisecond),
		StallAfter:    Duration(250 * time.Millisecond),
	}
}

// DefaultLimits returns the default limits; see section 10 of docs/design.md.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes:    8 * mib,
		MaxResultBytes:  mib,
		MaxAnswerBytes:  64 * mib,
		MaxHeaderBytes:  64 << 10,
		MaxDeadline:     Duration(time.Minute),
		MaxMessageBytes: DefaultMaxMessageBytes,
		AnswerRetention: Duration(time.Minute),
		ClaimRetention:  Duration(10 * time.Minute),
		HeaderTimeout:   Duration(10 * time.Second),
		BodyTimeout:     Duration(time.Minute),
		IdleTimeout:     Duration(2 * time.Minute),
	}
}

// DefaultEntry returns the settings of an entry with all defaults. They are not
// valid, because the identifier, the data centre, the addresses and the URL of
// the store have no default.
func DefaultEntry() Entry {
	return Entry{
		Store:      Store{MaxCallsPerSecond: DefaultStoreCallsPerSecond},
		Timing:     DefaultTiming(),
		Limits:     DefaultLimits(),
		Codec:      CodecGob,
		Placement:  PlacementIdleFirst,
		Order:      OrderUrgency,
		Admission:  AdmissionDeadline,
		Forwarding: defaultForwarding(),
		Log:        Log{Level: "info"},

		UnevenWorkers: defaultUnevenWorkers(),
	}
}

// DefaultAgent returns the settings of an agent with all defaults. They are not
// valid, because the identifiers, the data centre, the addresses, the number of
// slots and the URL of the store have no default.
func DefaultAgent() Agent {
	return Agent{
		QueueLimit:      DefaultQueueLimit,
		Connections:     DefaultConnections,
		Sharing:         SharingTasks,
		MaxEntries:      16,
		MaxRecords:      10000,
		MaxMessageBytes: DefaultMaxMessageBytes,
		Store:           Store{MaxCallsPerSecond: DefaultStoreCallsPerSecond},
		Timing:          DefaultTiming(),
		Codec:           CodecGob,
		Log:             Log{Level: "info"},
	}
}

// LoadEntry reads a file with the settings of an entry and checks them. The error
// is an *Error with all problems of the file, or the error of reading it.
func LoadEntry(path string) (Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Entry{}, merry.Prepend(err, "settings")
	}
	return parseEntry(path, data)
}

// LoadAgent reads a file with the settings of an agent and checks them. Its
// errors are those of LoadEntry.
func LoadAgent(path string) (Agent, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Agent{}, merry.Prepend(err, "settings")
	}
	return parseAgent(path, data)
}

func parseEntry(file string, data []byte) (Entry, error) {
	e := DefaultEntry()
	ps := problems(strictjson.Decode(data, &e))
	ps.merge(e.problems())
	if err := ps.err(file); err != nil {
		return Entry{}, err
	}
	return e, nil
}

// absent is the value of a number that the file does not give.
const absent = math.MinInt32

func parseAgent(file string, data []byte) (Agent, error) {
	a := DefaultAgent()
	queue, connections := a.QueueLimit, a.Connections
	a.QueueLimit, a.Connections = absent, absent
	ps := problems(strictjson.Decode(data, &a))
	if a.Leased != nil {
		return parseLeasedAgent(file, data)
	}
	// The defaults are adjusted to a number of slots that contradicts them.
	if a.QueueLimit == absent {
		a.QueueLimit = min(queue, max(a.Slots, 0))
	}
	if a.Connections == absent {
		a.Connections = max(connections, a.Slots)
	}
	ps.merge(a.problems())
	if err := ps.err(file); err != nil {
		return Agent{}, err
	}
	return a, nil
}

// parseLeasedAgent parses the settings of an agent whose file gives the field
// leased.
func parseLeasedAgent(file string, data []byte) (Agent, error) {
	a, leased := DefaultAgent(), DefaultLeased()
	a.Connections, a.Leased = 0, &leased
	ps := problems(strictjson.Decode(data, &a))
	ps.merge(a.problems())
	if err := ps.err(file); err != nil {
		return Agent{}, err
	}
	return a, nil
}
