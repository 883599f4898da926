// Package containment limits the damage of tasks that crash the workers on which
// they start.
//
// When a worker crashes, every run on it is lost, and nothing says which of them
// was the cause. The agent divides them into suspects and bystanders (see package
// lease). Two rules follow from that:
//
//   - History decides about one task. A suspect starts again only on probation,
//     alone among the suspects of its worker, so that the next crash convicts it and
//     nothing else. A convicted task is given up.
//   - Confinement decides about the tasks of one template. While several of them
//     were convicted recently, the template's tasks start only on a small part of
//     the pool, so that the other templates keep the rest.
//
// The types read no clock and take no lock; the caller serialises their calls.
package containment

import "chicorytray.example/chicorytray/wire"

const (
	// maxSuspicions is the number of crashes after which a suspect is given up: the
	// first one puts it on probation, the second one convicts it.
	maxSuspicions = 2
	// probationCrashes is the number of crashes, in any role, after which a task
	// starts only on probation. A task that crashes its worker only after a while is
	// a bystander to every run that began later.
	probationCrashes = 2
	// minConfirmed is the number of crashes under confirmed runs that a task has to have
	// before it is given up for suspicions.
	minConfirmed = 2
	// suspectCrashes and maxCrashes are the numbers of crashes after which a task is
	// given up if it was suspected in one of them, and in any case. They keep a task
	// below three starts after the third crash (docs/design.md, section 13.9), with a
	// margin for one crash that is forgotten when an entry is lost.
	suspectCrashes = 3
	maxCrashes     = 4
)

// Verdict is what follows for a task from the crash of its worker.
type Verdict int

// Verdicts on a task.
const (
	Restart   Verdict = iota // start it again like a task whose run was stopped
	Probation                // start it again, alone among the suspects of its worker
	GiveUp                   // fail its job
)

// History counts the worker crashes under the runs of one task. The zero value is
// the history of a task without any.
type History struct {
	Crashes    uint8 // all roles together
	Suspicions uint8 // as a suspect
	// Unconfirmed counts the crashes before the start of the task's run was confirmed.
	// They may have had another cause, so they do not count as suspicions.
	Unconfirmed uint8
}

// Record adds a crash, unless the role says that there was none, and returns the
// verdict on the task.
func (h *History) Record(role wire.CrashRole) Verdict {
	if role != wire.CrashNone && h.Crashes < maxCrashes {
		h.Crashes++
		switch role {
		case wire.CrashSuspect:
			h.Suspicions++
		case wire.CrashUnconfirmed:
			h.Unconfirmed++
		}
	}
	return h.Verdict()
}

// Retract takes back a crash that was recorded with the role and did not happen.
func (h *History) Retract(role wire.CrashRole) {
	if role == wire.CrashNone || h.Crashes == 0 {
		return
	}
	h.Crashes--
	switch {
	case role == wire.CrashSuspect && h.Suspicions > 0:
		h.Suspicions--
	case role == wire.CrashUnconfirmed && h.Unconfirmed > 0:
		h.Unconfirmed--
	}
}

// Verdict returns the verdict on the task.
func (h History) Verdict() Verdict {
	suspected := h.Suspicions+h.Unconfirmed > 0
	confirmed := h.Crashes-h.Unconfirmed >= minConfirmed
	switch {
	case h.Suspicions >= maxSuspicions, suspected && confirmed && h.Crashes >= suspectCrashes, h.Crashes >= maxCrashes:
		return GiveUp
	case suspected, h.Crashes >= probationCrashes:
		return Probation
	}
	return Restart
}
