package agent

import (
	"context"
	"slices"

	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/lease"
)

const (
	// maxAnnouncements bounds the lives of which the newest announcement is kept.
	maxAnnouncements = 8
	// maxVerifications bounds the calls to an announced life; the next announcement begins
	// again.
	maxVerifications = 3
	// maxRivals is after how many announcements that differ from the one in force, with
	// none like it in between, they apply. A worker announces itself about once a second.
	maxRivals = 5
)

// announcements has the newest announcement of each of the lives that were
// announced last, the latest at the end.
type announcements []announced

// announced is the newest announcement of one life.
type announced struct {
	lease.Announcement
	repeated bool // others of the same pool were accepted before it
	// rival is the last of the announcements of the life that were ignored since as those
	// of another writer, and rivals their number.
	rival  lease.Announcement
	rivals int
}

// add keeps an announcement. It returns false if it is outdated by the one of that
// life that is kept, or if it lacks the birth that others with its identifier state, or a
// field that the one of its life states: it then comes from another writer and describes
// no life. For the same reason one that states more takes the place of one that lacks
// these fields, whatever their sequences are. A worker keeps its pool for its life, so
// one with another pool than repeated ones is ignored as well. Which of two came from the
// worker is not certain: after maxRivals announcements the ignored one applies.
func (s *announcements) add(n lease.Announcement) bool {
	if n.Life.Born == 0 && slices.ContainsFunc(*s, func(k announced) bool { return k.Life.ID == n.Life.ID && k.Life.Born != 0 }) {
		return false
	}
	next := announced{Announcement: n}
	if i := slices.IndexFunc(*s, func(k announced) bool { return k.Life == n.Life }); i >= 0 {
		kept := &(*s)[i]
		switch more := kept.Lacks(&n); {
		case n.Lacks(&kept.Announcement), !more && kept.repeated && n.Pool != kept.Pool:
			if !kept.outlasted(n) {
				return false
			}
		case more || n.Pool != kept.Pool: // sequences of different writers
		case n.Outdated(&kept.Announcement):
			return false
		default:
			next.repeated = true
		}
		*s = slices.Delete(*s, i, i+1)
	}
	if *s = append(*s, next); len(*s) > maxAnnouncements {
		*s = slices.Delete(*s, 0, 1)
	}
	return true
}

// outlasted counts an announcement that differs from the one that is kept, and reports
// whether maxRivals like it have come since that one.
func (k *announced) outlasted(n lease.Announcement) bool {
	if k.rivals > 0 && n.Pool == k.rival.Pool && n.Stated == k.rival.Stated {
		if n.Outdated(&k.rival) {
			return false
		}
	} else {
		k.rivals = 0
	}
	k.rival = n
	k.rivals++
	return k.rivals >= maxRivals
}

// of returns the newest announcement of a life, and false if there is none.
func (s announcements) of(l lease.Life) (lease.Announcement, bool) {
	for i := len(s) - 1; i >= 0; i-- {
		if sameLife(s[i].Life, l) {
			return s[i].Announcement, true
		}
	}
	return lease.Announcement{}, false
}

// forget drops the announcements of all lives with the identifier.
func (s *announcements) forget(id string) {
	*s = slices.DeleteFunc(*s, func(n announced) bool { return n.Life.ID == id })
}

// latest returns the latest announcement, nil if there is none.
func (s announcements) latest() *lease.Announcement {
	if len(s) == 0 {
		return nil
	}
	n := s[len(s)-1].Announcement
	return &n
}

// verifyAnnounced asks the process that an announcement names for its runs, which may
// prove that the present life has ended; see announcedAnswered.
func (l *leasedExecutor) verifyAnnounced(present *life, n lease.Announcement) {
	w := l.agent.options.Connect(n)
	defer w.Close()
	for range maxVerifications {
		l.agent.mu.Lock()
		o := lease.RenewOrder{Token: present.runs.Token()}
		l.agent.mu.Unlock()
		ctx, cancel := context.WithTimeout(present.ctx, l.settings.OrderTimeout.AsDuration())
		reply, err := w.Renew(ctx, o)
		cancel()
		if err == nil {
			l.announcedAnswered(present, n, reply)
			return
		}
		if !wait.For(present.ctx, l.settings.OrderTimeout.AsDuration(), nil) {
			break
		}
	}
	l.agent.mu.Lock()
	defer l.agent.mu.Unlock()
	l.verifying = false
}

// announcedAnswered applies the answer of a process that was announced while another
// life was the present one. A refused token proves that a process with the
// identifier answered, and says nothing of its birth. A process with another identifier
// at the address of the present life has taken its place; one at another address may
// be that of another machine, whose announcement went astray, so the present life goes
// on while it has runs.
func (l *leasedExecutor) announcedAnswered(present *life, n lease.Announcement, reply lease.RenewReply) {
	l.agent.mu.Lock()
	defer l.agent.mu.Unlock()
	l.verifying = false
	known := present.runs.Life()
	switch {
	case l.life != present || reply.Refusal != "" && reply.Refusal != lease.RefusedTokenTooLow:
	case known.ID != n.Life.ID && n.Address != present.announced.Address && present.runs.HasOwnRuns():
		l.announcements.forget(n.Life.ID) // verified anew when it is announced again
	case known.ID != n.Life.ID:
		l.endLife(present, "another_life_answered", &n)
	case reply.Refusal == "" && present.runs.OtherLife(reply):
		l.replaceLife(present, "another_life_answered", n)
	}
}
