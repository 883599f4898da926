package lease

import "time"

const (
	// calmOrderTimeout is the shortest time to wait for the answer to an order of a
	// worker that answers nearly all. Workers on the same machine usually answer
	// within 2 ms, and in 99 of 100 cases within 18 ms on a quarter of a core.
	calmOrderTimeout = 40 * time.Millisecond
	// lossyOrderTimeout replaces calmOrderTimeout while many orders go unanswered. An
	// answer that arrives later costs a further renewal and a connection, which is
	// less than the jobs lose that wait for orders that will not be answered.
	lossyOrderTimeout = 15 * time.Millisecond
	// lossyShare is the share of unanswered orders above which a worker counts as
	// lossy, and lossWeight the weight of one order in that share: three of 32
	// orders are enough.
	lossyShare = 1.0 / 16
	lossWeight = 1.0 / 32
	// answerTimeFactor is how many times the usual answer time an answer may take,
	// and answerTimeWeight the weight of one answer in the usual answer time.
	answerTimeFactor = 4
	answerTimeWeight = 1.0 / 8
)

// OrderTimeout determines how long to wait for the answer to an order. A worker
// that usually answers within a millisecond has probably lost an order that it has
// not answered after many. From the second on, unanswered orders in a row double the
// time, so that a worker that has become slow is not taken for a silent one.
type OrderTimeout struct {
	limit     time.Duration
	usual     time.Duration // usual answer time; 0 without a sample
	lost      float64       // share of unanswered orders
	failures  int           // unanswered orders in a row, each sent after the one before was given up
	countedAt time.Time     // when failures was raised
}

// NewOrderTimeout returns an OrderTimeout that is limit until an order was
// answered, and never longer.
func NewOrderTimeout(limit time.Duration) OrderTimeout { return OrderTimeout{limit: limit} }

// Value returns the time to wait for the answer to an order that is sent now.
func (t *OrderTimeout) Value() time.Duration {
	if t.usual == 0 {
		return t.limit
	}
	least := calmOrderTimeout
	if t.Lossy() {
		least = lossyOrderTimeout
	}
	return min(t.limit, max(least, answerTimeFactor*t.usual)<<min(max(0, t.failures-1), 10))
}

// Lossy reports whether more than lossyShare of the last orders went unanswered.
func (t *OrderTimeout) Lossy() bool { return t.lost > lossyShare }

// Answered records the time after which an order was answered.
func (t *OrderTimeout) Answered(took time.Duration) {
	t.failures = 0
	t.lost -= lossWeight * t.lost
	if took = max(took, 1); t.usual == 0 {
		t.usual = took
	}
	t.usual += time.Duration(answerTimeWeight * float64(took-t.usual))
}

// Unanswered records that an order which was sent at the given time was given up.
// Orders that were on their way together count once in a row.
func (t *OrderTimeout) Unanswered(now, sent time.Time) {
	t.lost += lossWeight * (1 - t.lost)
	if !sent.Before(t.countedAt) {
		t.failures++
		t.countedAt = now
	}
}
