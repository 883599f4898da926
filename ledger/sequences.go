package ledger

// maxGaps is the largest number of used sequences above the first unused one
// that are stored individually. Entries number their tasks in ascending order
// and have at most a few hundred in progress at one agent.
const maxGaps = 4096

// sequences is a set of used sequence numbers in bounded memory. When the bound
// is exceeded, the lowest unused numbers count as used, so that their tasks are
// refused.
type sequences struct {
	floor uint64              // all numbers up to this one are used
	above map[uint64]struct{} // used numbers above floor
}

// add adds n and reports whether it was unused.
func (s *sequences) add(n uint64) bool {
	if s.contains(n) {
		return false
	}
	if s.above == nil {
		s.above = map[uint64]struct{}{}
	}
	s.above[n] = struct{}{}
	s.advanceFloor()
	if len(s.above) > maxGaps {
		s.compact()
	}
	return true
}

func (s *sequences) contains(n uint64) bool {
	if n <= s.floor {
		return true
	}
	_, ok := s.above[n]
	return ok
}

// advanceFloor moves the floor over the numbers that follow it.
func (s *sequences) advanceFloor() {
	for {
		if _, ok := s.above[s.floor+1]; !ok {
			return
		}
		s.floor++
		delete(s.above, s.floor)
	}
}

// compact moves the floor up to the lowest number above it, over the gap.
func (s *sequences) compact() {
	lowest := ^uint64(0)
	for n := range s.above {
		lowest = min(lowest, n)
	}
	s.floor = lowest - 1
	s.advanceFloor()
}
