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
	// winsorShare of the samples on each side is moved to the nearest kept one.
	winsorShare = 0.1
	// minTrustedSamples is the number of samples from which the declared duration
	// is ignored.
	minTrustedSamples = 3
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
	options    Options
	byTemplate map[string]*list.Element // of *sample
	lru        *list.List               // most recently used first
}

// templateSamples is a ring of the last durations of one template.
type templateSamples struct {
	template  string
	durations [SampleSize]time.Duration
	count     int // filled slots of took
	next      int // slot that the next duration overwrites
	mean      time.Duration
	stale     bool // mean has to be computed again
}

// New returns an empty Durations.
func New(o Options) *Durations {
	if o.MaxTemplates <= 0 {
		o.MaxTemplates = DefaultMaxTemplates
	}
	if o.Default <= 0 {
		o.Default = DefaultDuration
	}
	return &Durations{options: o, byTemplate: make(map[string]*list.Element), lru: list.New()}
}

// Observe records how long a task of the template took. Only tasks that
// succeeded should be recorded: a fast failure says nothing about the work.
// Negative durations are ignored.
func (d *Durations) Observe(template string, took time.Duration) {
	if took < 0 {
		return
	}
	e, ok := d.byTemplate[template]
	if !ok {
		e = d.insert(template)
	}
	d.lru.MoveToFront(e)
	e.Value.(*templateSamples).addDuration(took)
}

// Expected returns the duration to expect of a task of the template. The
// declared duration, or the default when it is not positive, is returned
// until a task was observed and is averaged with the first few observations.
func (d *Durations) Expected(template string, declared time.Duration) time.Duration {
	if declared <= 0 {
		declared = d.options.Default
	}
	e, ok := d.byTemplate[template]
	if !ok {
		return declared
	}
	d.lru.MoveToFront(e)
	s := e.Value.(*templateSamples)
	if s.count >= minTrustedSamples {
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
func (d *Durations) Len() int { return d.lru.Len() }

func (d *Durations) insert(template string) *list.Element {
	if d.lru.Len() >= d.options.MaxTemplates {
		oldest := d.lru.Back()
		delete(d.byTemplate, oldest.Value.(*templateSamples).template)
		d.lru.Remove(oldest)
	}
	e := d.lru.PushFront(&templateSamples{template: template})
	d.byTemplate[template] = e
	return e
}

func (s *templateSamples) addDuration(took time.Duration) {
	s.durations[s.next] = took
	s.next = (s.next + 1) % SampleSize
	s.count = min(s.count+1, SampleSize)
	s.stale = true
}

// winsorisedMean needs at least one duration. The result is kept until the
// next one is added.
func (s *templateSamples) winsorisedMean() time.Duration {
	if !s.stale {
		return s.mean
	}
	var buffer [SampleSize]time.Duration
	sorted := buffer[:copy(buffer[:], s.durations[:s.count])]
	slices.Sort(sorted)
	cut := int(math.Ceil(winsorShare * float64(len(sorted)-1)))
	if len(sorted) < minTrustedSamples {
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
