package clock

import "testing"

// Each check of a session, a gate or a pause reads the clock.
func BenchmarkNow(b *testing.B) {
	c := System()
	for b.Loop() {
		c.Now()
	}
}
