package forward

import "time"

const (
	// delayWindow is the time over which delays are averaged.
	delayWindow = time.Second
	// maxDelay is what a single delay counts at most, so that one late event among the
	// 20 of a second does not make an entry short.
	maxDelay = 150 * time.Millisecond
	// shortAbove and enoughBelow are the average delays from which on an entry counts as
	// short of processor time, and no longer does. A job waits for about five
	// events in turn, so 10 ms each are a third of an objective of 150 ms. At 3 ms entries
	// that served well forwarded, which made quick jobs late. They differ so that the forwards, which
	// lower the delay, do not switch themselves off and on.
	shortAbove  = 10 * time.Millisecond
	enoughBelow = 5 * time.Millisecond
)

// Processor decides whether an entry is short of processor time, by how long its events
// wait to be handled.
type Processor struct {
	delays []eventDelay // of the last delayWindow, oldest first
	sum    time.Duration
	short  bool
}

type eventDelay struct {
	at    time.Time
	delay time.Duration
}

// Record records an event that was handled after a delay. It reports whether the entry has become
// short of processor time, or is no longer.
func (p *Processor) Record(now time.Time, delay time.Duration) (changed bool) {
	delay = min(max(delay, 0), maxDelay)
	p.delays = append(p.delays, eventDelay{now, delay})
	p.sum += delay
	old := 0
	for now.Sub(p.delays[old].at) >= delayWindow {
		p.sum -= p.delays[old].delay
		old++
	}
	p.delays = p.delays[:copy(p.delays, p.delays[old:])]
	was := p.short
	switch average := p.Delay(); {
	case average > shortAbove:
		p.short = true
	case average < enoughBelow:
		p.short = false
	}
	return p.short != was
}

// Delay returns the average delay.
func (p *Processor) Delay() time.Duration {
	if len(p.delays) == 0 {
		return 0
	}
	return p.sum / time.Duration(len(p.delays))
}

// Short reports whether the entry is short of processor time.
func (p *Processor) Short() bool { return p.short }
