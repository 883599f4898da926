package dev

import (
	"strings"
)

// agentPrefix begins the names of the methods that agents answer. Entries
// answer all others.
const agentPrefix = "Agent."

// isEntryToEntry reports whether entries both call and answer the method. The
// count of messages sent does not tell requests and replies of such a method
// apart; they come in pairs, so half of the count is taken for each.
func isEntryToEntry(method string) bool {
	switch method {
	case "Entry.PeerHeartbeat", "Entry.Job", "Entry.CancelJob":
		return true
	}
	return false
}

// addMessages adds the messages that the daemon sent to traffic, by method.
func (x *daemon) addMessages(traffic map[string]Traffic) {
	for method, n := range x.messageCounts() {
		t := traffic[method]
		sent := int64(n.MessagesSent)
		toAgent := strings.HasPrefix(method, agentPrefix)
		switch {
		case isEntryToEntry(method):
			t.Requests += (sent + 1) / 2
			t.Replies += sent / 2
		case toAgent == (x.entry != nil):
			t.Requests += sent
		default:
			t.Replies += sent
		}
		t.Bytes += int64(n.BytesSent)
		traffic[method] = t
	}
	if t, ok := traffic[offerMethod]; ok {
		t.Wasted += 2 * x.unusedOffers() // request and reply
		traffic[offerMethod] = t
	}
}

// offerMethod is the call with which an agent offers a free slot to an entry.
// The entry may have no use for it.
const offerMethod = "Entry.Offer"

// unusedOffers returns how many of an agent's offers led to no start.
func (x *daemon) unusedOffers() int64 {
	counters := x.scope.Snapshot().Counters()
	count := func(name string) int64 {
		if c, ok := counters[name+"+"]; ok { // tally appends the tags after a plus sign
			return c.Value()
		}
		return 0
	}
	return count("offers") - count("offers_used")
}
