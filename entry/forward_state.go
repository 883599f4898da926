package entry

import (
	"cmp"
	"slices"
	"time"
)

// dumpForwards returns the open forwards of this entry as the sender.
func (d *dispatcher) dumpForwards() []StateForward {
	var out []StateForward
	for _, f := range d.forwards.byNumber {
		out = append(out, StateForward{
			Number: f.number, Job: f.request.Job, Sender: d.self.ID, Receiver: f.peer.ID, Reason: string(f.reason),
			AgeMS: d.now.Sub(f.arrived).Milliseconds(), LapsesMS: f.Lapses(d.timing.Lapse.AsDuration()).Sub(d.now).Milliseconds(),
		})
	}
	sortForwards(out)
	return out
}

// dump returns the open forwards of the entry with the identifier self as the receiver.
func (r *receivedForwards) dump(self string, now time.Time) []StateForward {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []StateForward
	for _, s := range r.senders {
		for _, f := range s.open {
			out = append(out, StateForward{
				Number: f.number, Job: f.job, Sender: f.sender.ID, Receiver: self,
				AgeMS: now.Sub(f.arrived).Milliseconds(), LapsesMS: f.lapses().Sub(now).Milliseconds(),
			})
		}
	}
	sortForwards(out)
	return out
}

func sortForwards(all []StateForward) {
	slices.SortFunc(all, func(a, b StateForward) int {
		return cmp.Or(cmp.Compare(a.Sender, b.Sender), cmp.Compare(a.Number, b.Number))
	})
}
