// Package estimate learns how long the tasks of each template take.
//
// Declared durations are known to be wrong by up to ten times, so they count
// only until a few tasks have finished. The estimate is the mean of the last
// SampleSize durations after those outside the 10th and 90th percentile are
// moved to these percentiles (a winsorised mean). A mean is needed because
// estimates are added up to predict a queue's work; the limits keep a single
// straggler or an instant failure from moving it.
//
// Memory is bounded: SampleSize durations for each of at most Options.Templates
// templates, of which the least recently used is forgotten.
//
// # Use
//
// The caller observes each task that succeeded, by the name of its template or of
// whatever else tells kinds of tasks apart, and asks Expected when a job arrives.
// The expected duration of a job should be kept with it, so that a queue that adds
// up work subtracts the same amount later.
//
// Durations reads no clock and takes no lock; the caller serialises its calls.
package estimate

import (
	"container/list"
	"math"
	"slices"
	"time"
)

// Constants of the estimate.
const (
	// SampleSize is the number of durations kept for a template. 32 samples
	// follow a change within 32 tasks and let up to 3 outliers on either
	// side pass without effect.
	SampleSize = 32
	// trimShare of the samples on each side is moved to the nearest kept one.
	trimShare = 0.1
	// trustAfter is the number of samples from which the declared duration
	// is ignored.
	trustAfter = 3
	// DefaultMaxTemplates bounds the templates remembered: 110 teams with
	// several templates each fit many times. About 3 MB when full.
	DefaultMaxTemplates = 10000
	// DefaultDuration is assumed when nothing is declared or learned. Most
	// tasks last 50 ms to 1 s; this is the geometric middle.
	DefaultDuration = 220 * time.Millisecond
)

// Options of Durations. A zero field takes its default.
type Options struct {
	MaxTemplates int           // templates remembered
	Default      time.Duration // assumed when nothing is declared or learned
}

// Durations holds the learned durations by template.
type Durations struct {
	options Options
	samples map[string]*list.Element // of *sample
	recent  *list.List               // most recently used first
}

// sample is a ring of the last durations of one template.
type sample struct {
	template string
	took     [SampleSize]time.Duration
	count    int // filled slots of took
	next     int // slot that the next duration overwrites
	mean     time.Duration
	stale    bool // mean has to be computed again
}

// New returns an empty Durations.
func New(o Options) *Durations {
	if o.MaxTemplates <= 0 {
		o.MaxTemplates = DefaultMaxTemplates
	}
	if o.Default <= 0 {
		o.Default = DefaultDuration
	}
	return &Durations{options: o, samples: make(map[string]*list.Element), recent: list.New()}
}

// Observe records how long a task of the template took. Only tasks that
// succeeded should be recorded: a fast failure says nothing about the work.
// Negative durations are ignored.
func (d *Durations) Observe(template string, took time.Duration) {
	if took < 0 {
		return
	}
	e, ok := d.samples[template]
	if !ok {
		e = d.insert(template)
	}
	d.recent.MoveToFront(e)
	e.Value.(*sample).add(took)
}

// Expected returns the duration to expect of a task of the template. The
// declared duration, or the default when it is not positive, is returned
// until a task was observed and is averaged with the first few observations.
func (d *Durations) Expected(template string, declared time.Duration) time.Duration {
	if declared <= 0 {
		declared = d.options.Default
	}
	e, ok := d.samples[template]
	if !ok {
		return declared
	}
	d.recent.MoveToFront(e)
	s := e.Value.(*sample)
	if s.count >= trustAfter {
		return s.winsorisedMean()
	}
	return blend(declared, s.winsorisedMean(), s.count)
}

// Blended returns the geometric mean of what was learned of the template and of
// the duration declared for this task, where tasks of one template differ. A
// declared duration that is not positive says nothing.
func (d *Durations) Blended(template string, declared time.Duration) time.Duration {
	learned := d.Expected(template, declared)
	if declared <= 0 {
		return learned
	}
	return blend(declared, learned, 1)
}

// Len returns the number of templates remembered.
func (d *Durations) Len() int { return d.recent.Len() }

func (d *Durations) insert(template string) *list.Element {
	if d.recent.Len() >= d.options.MaxTemplates {
		oldest := d.recent.Back()
		delete(d.samples, oldest.Value.(*sample).template)
		d.recent.Remove(oldest)
	}
	e := d.recent.PushFront(&sample{template: template})
	d.samples[template] = e
	return e
}

func (s *sample) add(took time.Duration) {
	s.took[s.next] = took
	s.next = (s.next + 1) % SampleSize
	s.count = min(s.count+1, SampleSize)
	s.stale = true
}

// winsorisedMean needs at least one duration. The result is kept until the
// next one is added.
func (s *sample) winsorisedMean() time.Duration {
	if !s.stale {
		return s.mean
	}
	var buffer [SampleSize]time.Duration
	sorted := buffer[:copy(buffer[:], s.took[:s.count])]
	slices.Sort(sorted)
	cut := int(math.Ceil(trimShare * float64(len(sorted)-1)))
	if len(sorted) < trustAfter {
		cut = 0
	}
	low, high := sorted[cut], sorted[len(sorted)-1-cut]
	var sum time.Duration
	for _, v := range sorted {
		sum += min(max(v, low), high)
	}
	s.mean, s.stale = sum/time.Duration(len(sorted)), false
	return s.mean
}

// blend returns the geometric mean of the declared duration, counted once,
// and the learned one, counted n times. A declaration that is wrong by ten
// times in either direction then shifts the result by the same factor.
func blend(declared, learned time.Duration, n int) time.Duration {
	logs := math.Log(float64(declared)) + float64(n)*math.Log(float64(max(learned, 1)))
	return time.Duration(math.Exp(logs / float64(n+1)))
}
