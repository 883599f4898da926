package orders

import (
	"fmt"
	"time"

	"chicorytray.example/chicorytray/placement"
	"chicorytray.example/chicorytray/queue"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/speed"
)

// evaluateInterval is the interval at which entries evaluate the speeds, the heartbeat
// of the users' platform.
const evaluateInterval = 150 * time.Millisecond

// learnSpeeds makes each process learn the speeds of the workers, if the run places
// tasks by them.
func (s *simulation) learnSpeeds() {
	if !s.bySpeed {
		return
	}
	for _, p := range s.processes {
		p.speeds, p.placing = speed.New(), speed.NewRound()
		for i := range s.fleet.workers {
			p.speeds.Track(fmt.Sprint(i))
		}
	}
}

// nameClass gives the job a class with the jobs of its kind only, as at an entry.
func (s *simulation) nameClass(j *job) {
	if s.bySpeed {
		kind := s.fleet.kinds[j.kindIndex].name
		j.class.Name += "/" + kind
		s.kinds[j.class.Name] = kind
	}
}

// feasible reports whether a task of the class could start now.
func (s *simulation) feasible(p *process, class string) bool {
	return (p.placing == nil || !p.placing.Closed(s.kinds[class])) && s.table.Feasible(s.classes[class])
}

func (s *simulation) observeRun(j *job, worker string, took time.Duration) {
	p := j.process
	if p.speeds == nil {
		return
	}
	p.speeds.Observe(s.currentTime(), speed.Run{Worker: worker, Template: s.fleet.kinds[j.kindIndex].name, Job: j.id, Took: took})
	if s.now-p.evaluated >= evaluateInterval {
		p.evaluated = s.now
		p.speeds.Evaluate(s.currentTime())
	}
}

// startBySpeed starts a task of the process at a worker at which it ends in time, or
// holds it.
func (s *simulation) startBySpeed(p *process, j *job, ref queue.TaskRef) bool {
	now := s.currentTime()
	t := speed.Task{
		Expected: j.expected, Left: j.arrived + j.objective - s.now, HasObjective: true,
		Last: speed.IsLast(len(j.tasks), j.waiting, j.started),
		Held: p.placing.Held(), MaxHold: settings.DefaultMaxHold.AsDuration(), Margin: settings.DefaultUnevenMargin,
	}
	id, result := p.speeds.Choose(now, t, func(accept func(string) bool) (string, bool) {
		q := placement.Query{Class: j.class, RackTasks: j.rackSpread.Count}
		if accept != nil {
			q.Avoid = func(id string) bool { return !accept(id) }
		}
		return s.table.ChooseFor(q)
	})
	if result != speed.Chosen {
		p.placing.Hold(s.fleet.kinds[j.kindIndex].name)
		p.held = append(p.held, ref)
		return result == speed.Held && len(p.held) < speed.MaxHeld
	}
	p.speeds.RecordStart(now, id)
	s.startTask(j, ref.Index, id)
	return true
}

// putBackHeld ends a round of placing tasks.
func (s *simulation) putBackHeld() {
	for _, p := range s.processes {
		for _, ref := range p.held {
			p.queue.PutBack(ref)
		}
		if p.held = p.held[:0]; p.placing != nil {
			p.placing.Reset()
		}
	}
}
