package config

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against priorities above MaxUrgency that lose their order, and against a
// priority that no urgency stands for.
func TestUrgenciesKeepTheOrderOfPriorities(t *testing.T) {
	for _, tc := range []struct {
		priorities []float64
		want       []int
	}{
		{nil, []int{}},
		{[]float64{0, 7, 9, 2}, []int{0, 7, 9, 2}},
		{[]float64{20, 0, 10, 20, 3}, []int{3, 0, 2, 3, 1}},
		{[]float64{-1, math.MaxFloat64, 0}, []int{0, 1, 0}},
		{[]float64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}, []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 9, 9}},
	} {
		qt.Check(t, Urgencies(tc.priorities), qt.DeepEquals, tc.want)
	}
}
