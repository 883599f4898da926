package admission

import "time"

const (
	// interval is the width of the intervals in which waiting work is counted. It
	// is that of the order queue.Due.
	interval = 50 * time.Millisecond
	// intervals is the number of intervals ahead that are searched in a decision.
	// With 6.4 s they cover the objectives of jobs whose tasks take up to some
	// seconds; work that is due later is counted once it comes into their range.
	intervals = 128
)

// workByTime counts work by a time at which its state changes.
type workByTime struct {
	epoch  time.Time          // beginning of interval 0, set by the first call of advance
	first  int64              // number of the first interval that has not passed
	ring   [intervals]float64 // by interval number modulo intervals, from first
	later  map[int64]float64  // by interval number, from first+intervals
	passed float64            // work whose time has passed
}

// intervalOf returns the number of the interval that contains the time. Numbers are
// counted from a time with a monotonic reading, so that a step of the wall clock
// does not move the work.
func (w *workByTime) intervalOf(t time.Time) int64 {
	since := t.Sub(w.epoch)
	if since < 0 {
		return -1
	}
	return int64(since / interval)
}

// advance counts the work of past intervals as passed.
func (w *workByTime) advance(now time.Time) {
	if w.epoch.IsZero() {
		w.epoch = now
	}
	n := w.intervalOf(now)
	if n <= w.first {
		return
	}
	for i := range min(n-w.first, intervals) {
		slot := &w.ring[(w.first+i)%intervals]
		w.passed += *slot
		*slot = 0
	}
	w.first = n
	for number, work := range w.later {
		if number < w.first+intervals {
			delete(w.later, number)
			w.addAt(number, work)
		}
	}
}

func (w *workByTime) add(t time.Time, work float64) { w.addAt(w.intervalOf(t), work) }

func (w *workByTime) addAt(number int64, work float64) {
	switch {
	case number < w.first:
		w.passed += work
	case number < w.first+intervals:
		w.ring[number%intervals] += work
	default:
		if w.later == nil {
			w.later = map[int64]float64{}
		}
		w.later[number] += work
	}
}

func (w *workByTime) clear() {
	w.ring, w.passed = [intervals]float64{}, 0
	clear(w.later)
}

// total returns the work of all times.
func (w *workByTime) total() float64 {
	sum := w.passed
	for _, work := range w.ring {
		sum += work
	}
	for _, work := range w.later {
		sum += work
	}
	return sum
}

// sumThrough returns the work that has not passed, up to and including an interval.
func (w *workByTime) sumThrough(number int64) float64 {
	sum := 0.0
	for i := w.first; i <= min(number, w.first+intervals-1); i++ {
		sum += w.ring[i%intervals]
	}
	return sum
}

// eachAfter calls f for the intervals after the given one that hold work, with the
// time from now to their middle.
func (w *workByTime) eachAfter(number int64, f func(left time.Duration, work float64), now time.Time) {
	elapsed := now.Sub(w.epoch)
	for i := max(number+1, w.first); i < w.first+intervals; i++ {
		if work := w.ring[i%intervals]; work > 0 {
			f(time.Duration(i)*interval+interval/2-elapsed, work)
		}
	}
}
