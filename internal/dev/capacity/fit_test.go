package capacity

import (
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a slope or residual computed from the wrong axis.
func TestFit(t *testing.T) {
	c := qt.New(t)
	l := Fit([]Point{{0, 1}, {10, 21}, {20, 41}})
	c.Check(math.Abs(l.Base-1) < 1e-9, qt.IsTrue)
	c.Check(math.Abs(l.Slope-2) < 1e-9, qt.IsTrue)
	c.Check(l.Residual < 1e-9, qt.IsTrue)
	c.Check(math.Abs(l.At(100)-201) < 1e-9, qt.IsTrue)
}

// Guards against a table that hides which part is extrapolated.
func TestMarkdownKeepsExtrapolationApart(t *testing.T) {
	c := qt.New(t)
	var b strings.Builder
	r := Report{Series: []Series{newSeries("cores", "agents", 1000, []Point{{10, 0.1}, {20, 0.2}})}}
	c.Assert(r.WriteMarkdown(&b), qt.IsNil)
	c.Check(strings.Contains(b.String(), "| 10: 0.1, 20: 0.2 |"), qt.IsTrue, qt.Commentf("%s", b.String()))
	c.Check(strings.Contains(b.String(), "10 at 1000 |"), qt.IsTrue, qt.Commentf("%s", b.String()))
}
