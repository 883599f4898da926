package systemtest

import "testing"

// Guards against a system that does not serve a plain job.
func TestJobIsServed(t *testing.T) {
	run(t, layout{}, func(s *system) {
		s.expect(s.submit(0, job{tasks: 20}), "done")
	})
}
