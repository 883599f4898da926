package durable_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/durable"
)

// Guards against two valid owners of a job, an accepted job that is lost or has no
// owner in the end, and a callback that is called twice, with random faults of the
// store and of the entries' connections to it.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(40) {
		run(t, 3, func(r *rig) {
			random := rand.New(rand.NewPCG(seed, 0))
			created := map[string]*answer{}
			var others []*answer
			for i := range 150 {
				n := r.nodes[random.IntN(len(r.nodes))]
				id, d := fmt.Sprint(random.IntN(i+1)), time.Duration(random.IntN(4000))*time.Millisecond
				switch random.IntN(16) {
				case 0:
					r.stub.SetDown(true)
					time.AfterFunc(d, func() { r.stub.SetDown(false) })
				case 1:
					r.stub.SetLatency(d / 4)
					time.AfterFunc(d, func() { r.stub.SetLatency(5 * time.Millisecond) })
				case 2:
					r.stub.LoseAnswers(random.IntN(6))
				case 3:
					r.stub.HoldWrites(random.IntN(6), d)
				case 4:
					n.store.setFailing(true)
					time.AfterFunc(d, func() { n.store.setFailing(false) })
				case 5:
					n.manager.PeerLost(r.nodes[0].name)
				case 6, 7, 8:
					others = append(others, n.update(record(id), d/4))
				case 9, 10:
					others = append(others, n.finish(end(id)))
				default:
					id = fmt.Sprint(i)
					created[id] = n.create(record(id))
				}
				wait(time.Duration(random.IntN(300)) * time.Millisecond)
			}
			r.stub.LoseAnswers(0)
			r.stub.HoldWrites(0, 0)
			wait(90 * time.Second)
			for id, a := range created {
				comment := qt.Commentf("seed %d, job %s: %v", seed, id, a.err)
				_, ended := r.stub.Peek(durable.EndedPrefix + id)
				open := r.stored(id) != nil
				r.Check(a.calls, qt.Equals, 1, comment)
				r.Check(a.err != nil || open != ended, qt.IsTrue, comment)
				r.Check(r.owners(id) == 1, qt.Equals, open, comment)
			}
			for _, a := range others {
				r.Check(a.calls <= 1, qt.IsTrue)
			}
		})
	}
}
