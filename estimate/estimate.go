// Package estimate learns the durations of tasks by template.
//
// Declared durations are known to be wrong by a factor of up to ten, so they are
// used only until a few tasks have finished. The estimate is a winsorised mean:
// the mean of the last SampleSize durations, where those outside the 10th and
// 90th percentile are replaced by these percentiles. A mean is needed because
// estimates are added up to predict a queue's work; winsorising prevents a single
// straggler or an instant result from changing it.
//
// Memory is bounded to SampleSize durations for each of at most
// Options.MaxTemplates templates. The least recently used template is evicted.
//
// # Use
//
// The caller calls Observe for each task that succeeded, with the name of its
// template or any other key that distinguishes kinds of tasks, and Expected when
// a job arrives. The expected duration should be stored with the job, so that a
// queue that adds up work later subtracts the same amount.
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
	// SampleSize is the number of durations kept for a template. With 32 the
	// estimate follows a change within 32 tasks, and up to 3 outliers on
	// either side have no effect.
	SampleSize = 32
	// winsorShare is the fraction of the samples on each side that is replaced
	// by the nearest remaining sample.
	winsorShare = 0.1
	// minTrustedSamples is the number of samples from which the declared
	// duration is ignored.
	minTrustedSamples = 3
	// DefaultMaxTemplates is the number of templates kept. It is many times
	// what 110 teams with several templates each need, and takes about 3 MB of
	// memory.
	DefaultMaxTemplates = 10000
	// DefaultDuration is assumed when no duration is declared or learned. Most
	// tasks last 50 ms to 1 s; this is about the geometric mean of the two.
	DefaultDuration = 220 * time.Millisecond
)

// Options configures Durations. A zero field takes its default.
type Options struct {
	MaxTemplates int           // number of templates kept
	Default      time.Duration // assumed when no duration is declared or learned
}

// Durations holds the learned durations by template.
type Durations struct {
	options    Options
	byTemplate map[string]*list.Element // of *templateSamples
	lru        *list.List               // most recently used first
}

// templateSamples is a ring buffer of the last durations of one template.
type templateSamples struct {
	template  string
	durations [SampleSize]time.Duration
	count     int // number of durations stored
	next      int // index that the next duration overwrites
	mean      time.Duration
	stale     bool // mean must be recomputed
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

// Observe records the duration of a task of the template. Only tasks that
// succeeded should be recorded, because the duration of a failure says nothing
// about the work. Negative durations are ignored.
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

// Expected returns the expected duration of a task of the template. Until a task
// was observed this is the declared duration, or Options.Default if that is not
// positive. It is averaged with the first few observations.
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

// Blended returns the geometric mean of the expected duration of the template and
// the duration declared for this task. It is for templates whose tasks differ. If
// the declared duration is not positive, the result is that of Expected.
func (d *Durations) Blended(template string, declared time.Duration) time.Duration {
	learned := d.Expected(template, declared)
	if declared <= 0 {
		return learned
	}
	return blend(declared, learned, 1)
}

// Len returns the number of templates kept.
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

// winsorisedMean returns the winsorised mean of the durations, of which there must
// be at least one. The result is cached until the next duration is added.
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

// blend returns the geometric mean of the declared duration with weight 1 and
// the learned duration with weight n. In a geometric mean, declarations that are
// too short and too long by the same factor shift the result by the same factor.
func blend(declared, learned time.Duration, n int) time.Duration {
	logs := math.Log(float64(declared)) + float64(n)*math.Log(float64(max(learned, 1)))
	return time.Duration(math.Exp(logs / float64(n+1)))
}
