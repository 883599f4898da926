package admission

import (
	"maps"
	"math"
	"time"
)

const (
	// shareTimeConstant is the time constant with which shares forget. It is some
	// times longer than the longest objective and shorter than a wave of demand.
	shareTimeConstant = 3 * time.Second
	// fairTolerance is how far the served share of a kind or an account may exceed
	// that of all work before its jobs are refused for the others' sake.
	fairTolerance = 0.05
	// widthTolerance is the same for the narrow jobs of a kind, compared with the
	// wide ones.
	widthTolerance = 0.25
)

// share is work that was asked for and the part of it that was served, decaying
// with shareTimeConstant.
type share struct {
	asked, served float64
	at            time.Time
	below         bool // below the floor at the last comparison with the means
}

func (s *share) decay(now time.Time) {
	if elapsed := now.Sub(s.at); elapsed > 0 {
		f := decayOver(elapsed)
		s.asked, s.served, s.at = s.asked*f, s.served*f, now
	}
}

// decayOver returns the part that is left of work that was counted that long ago.
func decayOver(elapsed time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / shareTimeConstant.Seconds())
}

// value returns the served share, 1 if nothing was asked for. Less than one unit of
// work is what rounding leaves.
func (s *share) value() float64 {
	if s.asked < 1 {
		return 1
	}
	return s.served / s.asked
}

// kindShares are the shares of one kind of job.
type kindShares struct {
	all, narrow, wide share
	// meanWork is the mean work of the kind's jobs. A job with more is wide.
	meanWork float64
}

func (k *kindShares) width(j *Job) *share {
	if j.Work > k.meanWork {
		return &k.wide
	}
	return &k.narrow
}

// minSweep is the number of kinds and accounts below which unused ones are kept.
const minSweep = 256

// shares compares the served shares of kinds, accounts and widths.
type shares struct {
	all      share
	kinds    map[string]*kindShares
	accounts map[string]*share
	meanAt   time.Time // of the last comparison with the means
	sweepAt  int       // number of kinds and accounts at which unused ones are deleted
}

func newShares() shares {
	return shares{kinds: map[string]*kindShares{}, accounts: map[string]*share{}, sweepAt: minSweep}
}

func (s *shares) of(j *Job) (k *kindShares, a *share) {
	if k = s.kinds[j.Kind]; k == nil {
		k = &kindShares{meanWork: j.Work}
		s.kinds[j.Kind] = k
	}
	if a = s.accounts[j.Account]; a == nil {
		a = &share{}
		s.accounts[j.Account] = a
	}
	return k, a
}

// meanWorkWeight is the weight of one job in the mean work of its kind.
const meanWorkWeight = 0.02

// recordAsked counts the job as asked for, or with a negative work as not asked for
// after all.
func (s *shares) recordAsked(now time.Time, j *Job, work float64) {
	s.sweep(now)
	k, a := s.of(j)
	if work > 0 {
		k.meanWork += (j.Work - k.meanWork) * meanWorkWeight
	}
	for _, x := range []*share{&s.all, &k.all, k.width(j), a} {
		x.decay(now)
		x.asked = max(x.asked+work, 0)
	}
}

// sweep deletes kinds and accounts that have not asked for work for long. It runs
// when their number has doubled.
func (s *shares) sweep(now time.Time) {
	if len(s.kinds)+len(s.accounts) < s.sweepAt {
		return
	}
	unused := func(x *share) bool {
		x.decay(now)
		return x.asked < 1
	}
	maps.DeleteFunc(s.kinds, func(_ string, k *kindShares) bool { return unused(&k.all) })
	maps.DeleteFunc(s.accounts, func(_ string, a *share) bool { return unused(a) })
	s.sweepAt = max(2*(len(s.kinds)+len(s.accounts)), minSweep)
}

// recordServed counts the job as served, or with a negative work as not served
// after all.
func (s *shares) recordServed(now time.Time, j *Job, work float64) {
	k, a := s.of(j)
	for _, x := range []*share{&s.all, &k.all, k.width(j), a} {
		x.decay(now)
		x.served = max(x.served+work, 0)
	}
}

// meanInterval is the interval at which shares are compared with the means over the
// kinds and accounts. The cost of a comparison grows with their number.
const meanInterval = 50 * time.Millisecond

// floorShare is the part of the mean served share of all kinds, or accounts, below
// which a job has a claim on capacity that others have booked. The required floor
// is a half; the rest is for the noise of small kinds.
const floorShare = 0.75

// belowFloor reports whether the kind or the account of the job is served less
// than floorShare of the mean over kinds or accounts.
func (s *shares) belowFloor(now time.Time, j *Job) bool {
	if now.Sub(s.meanAt) >= meanInterval {
		s.meanAt = now
		s.updateMeans()
	}
	k, a := s.of(j)
	return k.all.below || a.below
}

// updateMeans compares all shares with the means at the same time, so that a share
// that falls between two calls is not compared with an older mean.
func (s *shares) updateMeans() {
	var kinds, accounts float64
	for _, k := range s.kinds {
		kinds += k.all.value() / float64(len(s.kinds))
	}
	for _, a := range s.accounts {
		accounts += a.value() / float64(len(s.accounts))
	}
	for _, k := range s.kinds {
		k.all.below = k.all.value() < floorShare*kinds
	}
	for _, a := range s.accounts {
		a.below = a.value() < floorShare*accounts
	}
}

// exceeds reports whether the kind, the account or the width of the job is served
// more than its proportion, so that its jobs have to leave capacity to others.
func (s *shares) exceeds(j *Job) bool {
	k, a := s.of(j)
	fair := s.all.value() * (1 + fairTolerance)
	if k.all.value() > fair || a.value() > fair {
		return true
	}
	return k.width(j) == &k.narrow && k.wide.asked > 0 && k.narrow.value() > k.wide.value()*(1+widthTolerance)
}
