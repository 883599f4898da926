package lease

import (
	"encoding/binary"
	"slices"
	"testing"
	"time"
)

// fuzzInput is a source of drawn values; it yields 0 when it is used up.
type fuzzInput []byte

func (f *fuzzInput) byte() byte {
	if len(*f) == 0 {
		return 0
	}
	b := (*f)[0]
	*f = (*f)[1:]
	return b
}

// number returns a small number, or sometimes any.
func (f *fuzzInput) number() uint64 {
	if b := f.byte(); b < 0xf0 {
		return uint64(b % 8)
	}
	var b [8]byte
	for i := range b {
		b[i] = f.byte()
	}
	return binary.BigEndian.Uint64(b[:])
}

func (f *fuzzInput) run() Run {
	return Run{Task{Job: string(rune('a' + f.byte()%3))}, f.number()}
}

// reply returns a list of runs as a connector passes it on: times are in its range.
func (f *fuzzInput) reply(clock WorkerTime) RenewReply {
	const maxTime = 1 << 42
	l := RenewReply{Born: int64(f.number() % maxTime), Clock: clock + time.Duration(f.byte())*ms}
	if f.byte()%8 == 0 {
		l.Clock = time.Duration(f.number()%maxTime) * ms
	}
	for range f.byte() % 4 {
		l.Active = append(l.Active, ActiveRun{f.run(), int(f.byte() % 101)})
	}
	for range f.byte() % 4 {
		l.Ended = append(l.Ended, RunEnd{f.number(), f.run(), []EndReason{Done, Failed, Stopped, LeaseExpired, "x"}[f.byte()%5]})
	}
	return l
}

// Guards against lists of runs and answers that take the agent down, remove a run that
// was not in the table or remove it twice, and against a start whose number is not
// above those that were ordered before, so that the worker would take it for one of
// them.
func FuzzReplies(f *testing.F) {
	// A run with the highest number, listed before a start of its task.
	f.Add([]byte{1, 1, 0, 1, 1, 0, 0xff, 255, 255, 255, 255, 255, 255, 255, 255, 0, 0, 1, 1, 0, 1, 0, 0, 0, 0})
	f.Add([]byte{0, 0, 5, 1, 3, 1, 0, 1, 1, 1, 0, 1, 0, 1, 0, 2, 9, 3, 4})
	f.Add([]byte{0, 0, 1, 3, 1, 0, 1, 1, 0, 0, 1, 1, 0xff, 255, 255, 255, 255, 255, 255, 255, 255, 0, 0, 0, 0, 0, 5, 5, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		in := fuzzInput(data)
		r := adopted()
		var open []StartOrder
		highest, orderedAt := map[Task]uint64{}, map[Task]time.Time{}
		check := func(removed []RemovedRun) {
			for _, x := range removed {
				i := slices.IndexFunc(open, func(o StartOrder) bool { return o.Run == x.Run })
				if i < 0 {
					t.Fatalf("%+v was not in the table", x)
				}
				open = slices.Delete(open, i, i+1)
			}
			if len(open) != len(r.table) {
				t.Fatalf("%d runs are open and %d in the table", len(open), len(r.table))
			}
		}
		for len(in) > 0 {
			operation := in.byte() % 6
			if operation >= 3 && len(open) == 0 {
				continue
			}
			switch operation {
			case 0:
				if !r.Adopted() {
					break
				}
				o, err := r.Start(r.now, in.run().Task, "")
				if err != nil {
					break
				}
				remembered := r.now.Sub(orderedAt[o.Run.Task]) <= numberRetention
				if remembered && o.Run.Number <= highest[o.Run.Task] || o.Run.Number == 0 || o.ValidUntil <= 0 {
					t.Fatalf("%+v after number %d", o, highest[o.Run.Task])
				}
				open, highest[o.Run.Task], orderedAt[o.Run.Task] = append(open, o), o.Run.Number, r.now
			case 1:
				removed, _ := r.RenewalAnswered(r.now, r.Renew(r.now, 0), in.reply(r.clockNow()))
				check(removed)
			case 2:
				r.pass(time.Duration(in.byte()) * 4 * ms)
				check(r.ExpireLease(r.now))
			case 3:
				refusal := []Refusal{"", RefusedNoRoom, RefusedTokenTooLow, RefusedRunTooOld}[in.byte()%4]
				check(r.StartAnswered(r.now, open[0], Answer{Refusal: refusal, Clock: r.clockNow()}))
			case 4:
				r.StartUnanswered(open[0].Run)
			case 5:
				r.Stop(open[0].Run)
				if o, ok := r.PendingStop(open[0].Run); ok {
					r.StopAnswered(r.now, o, Answer{Clock: r.clockNow()})
				}
			}
		}
	})
}
