package config

import "slices"

// Urgencies returns an urgency for each priority of a foreign configuration, whose
// priorities have no upper limit; lower ones come first. Priorities from 0 to MaxUrgency
// are kept. If one is higher, all are numbered in their order, so that two different ones
// stay different as long as there are at most MaxUrgency+1 of them.
func Urgencies(priorities []float64) []int {
	levels := make([]float64, len(priorities))
	for i, p := range priorities {
		levels[i] = max(p, 0)
	}
	distinct := slices.Compact(slices.Sorted(slices.Values(levels)))
	out := make([]int, len(levels))
	for i, p := range levels {
		out[i] = int(min(p, MaxUrgency))
		if distinct[len(distinct)-1] > MaxUrgency {
			rank, _ := slices.BinarySearch(distinct, p)
			out[i] = min(rank, MaxUrgency)
		}
	}
	return out
}
