package systemtest

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// startBalancedLoad submits jobs every 100 ms, for the duration d, to the entries
// that were ready at the last check, as the platform's load balancer does. It
// returns at once.
func (s *system) startBalancedLoad(d time.Duration, j job) {
	s.background.Go(func() {
		ready := make([]bool, len(s.layout.entries))
		for i := 0; i < int(d/loadInterval); i++ {
			if i%10 == 0 { // the load balancer checks once a second
				for k := range ready {
					ready[k] = s.ready(entryHost(k))
				}
			}
			if to := i % len(ready); ready[to] {
				s.submit(to, j)
			}
			time.Sleep(loadInterval)
		}
	})
}

func (s *system) ready(host string) bool {
	resp, err := s.client(callerHost).Get("http://" + host + ":9000/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// Guards against a planned stop that interrupts or fails a request. Every instance
// is stopped and replaced, one after the other, under load and while a task of
// several seconds runs. The long tasks have their own template: entries learn
// durations by template, and a mixture of 150 ms and 4 s makes an entry
// overestimate its queue and refuse jobs.
func TestPlannedStopOfEveryInstance(t *testing.T) {
	withSystem(t, layout{}, func(s *system) {
		s.setDelay(messageDelay)
		s.startBalancedLoad(90*time.Second, job{tasks: 2, serviceTime: serviceTime / 2})
		stop := func(f func(context.Context) error) {
			time.Sleep(500 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			s.Check(f(ctx), qt.IsNil)
		}
		for i := range s.agents {
			s.submit(0, job{template: "long", tasks: 6, serviceTime: 4 * time.Second})
			stop(s.agents[i].Stop)
			s.restartAgent(i)
			time.Sleep(2 * time.Second)
		}
		for i := range s.entries {
			s.submit(i, job{template: "long", tasks: 2, serviceTime: 4 * time.Second})
			stop(s.entries[i].Stop)
			s.restartEntry(i)
			time.Sleep(5 * time.Second)
		}
		s.background.Wait()
		s.Check(len(s.submissions) > 400, qt.IsTrue)
		for _, sub := range s.submissions {
			s.expectOutcome(sub, "done")
		}
	})
}
