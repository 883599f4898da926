package wire

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against placing a task on a worker that lacks one of several resources.
func TestResourcesFitOnlyWhenEveryKindFits(t *testing.T) {
	c := qt.New(t)
	free := Resources{Accelerators: 1, MemoryMB: 100, MilliCPU: 1000}
	c.Check(Resources{MemoryMB: 100}.Fits(free), qt.IsTrue)
	c.Check(Resources{Accelerators: 2}.Fits(free), qt.IsFalse)
	c.Check(Resources{MilliCPU: 1001}.Fits(free), qt.IsFalse)
	c.Check(free.Minus(Resources{MemoryMB: 40}).Plus(Resources{MemoryMB: 40}), qt.Equals, free)
}

// Guards against an incarnation of zero, which messages use for "none".
func TestNewIncarnationIsNeverZero(t *testing.T) {
	c := qt.New(t)
	a, b := NewIncarnation(), NewIncarnation()
	c.Check(a, qt.Not(qt.Equals), Incarnation(0))
	c.Check(a, qt.Not(qt.Equals), b)
	c.Check(Incarnation(255).String(), qt.Equals, "00000000000000ff")
}
