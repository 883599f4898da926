package lease

import "time"

const (
	// minOrderTimeout is the shortest time to wait for the answer to an order. A
	// worker on the same machine usually answers within 2 ms, and in 99 of 100 cases
	// within 18 ms on a machine with a quarter of a core.
	minOrderTimeout = 15 * time.Millisecond
	// answerTimeFactor is how many times the usual answer time an answer may take.
	answerTimeFactor = 4
	// answerTimeWeight is the weight of a new sample in the usual answer time.
	answerTimeWeight = 0.125
	// unansweredMemory is how long an unanswered order makes others more likely.
	unansweredMemory = 2 * time.Second
)

// OrderTimeout determines how long to wait for the answer to an order. A worker
// that usually answers within a millisecond has probably lost an order that it has
// not answered after many. Each unanswered order doubles the time until an order is
// answered, so that a worker that has become slow is not taken for a silent one.
type OrderTimeout struct {
	limit      time.Duration
	usual      time.Duration // usual answer time; 0 without a sample
	failures   int           // unanswered orders in a row, each sent after the one before was given up
	countedAt  time.Time     // when failures was raised
	unanswered time.Time     // when the last order was given up
}

// NewOrderTimeout returns an OrderTimeout that is limit until an order was
// answered, and never longer.
func NewOrderTimeout(limit time.Duration) OrderTimeout { return OrderTimeout{limit: limit} }

// Value returns the time to wait for the answer to an order that is sent now.
func (t *OrderTimeout) Value() time.Duration {
	if t.usual == 0 {
		return t.limit
	}
	return min(t.limit, max(minOrderTimeout, answerTimeFactor*t.usual)<<min(max(0, t.failures-1), 10))
}

// Answered records the time after which an order was answered.
func (t *OrderTimeout) Answered(took time.Duration) {
	t.failures = 0
	if took = max(took, 1); t.usual == 0 {
		t.usual = took
	}
	t.usual += time.Duration(answerTimeWeight * float64(took-t.usual))
}

// Unanswered records that an order which was sent at the given time was given up.
// Orders that were on their way together count once.
func (t *OrderTimeout) Unanswered(now, sent time.Time) {
	t.unanswered = now
	if !sent.Before(t.countedAt) {
		t.failures++
		t.countedAt = now
	}
}

// RecentlyUnanswered reports whether an order was given up within unansweredMemory.
func (t *OrderTimeout) RecentlyUnanswered(now time.Time) bool {
	return !t.unanswered.IsZero() && now.Sub(t.unanswered) < unansweredMemory
}
