package capacity

import (
	"fmt"
	"io"
	"strings"
)

// Series is one cost measured at several sizes, with the line fitted to it.
type Series struct {
	Name   string  `json:"name"` // what is measured and its unit
	Size   string  `json:"size"` // what grows
	Points []Point `json:"points"`
	Line   Line    `json:"line"`
	// Target is the size expected in two years, and AtTarget the value of the
	// line at that size. AtTarget is an extrapolation if Target exceeds the
	// largest size measured.
	Target   float64 `json:"target"`
	AtTarget float64 `json:"at_target"`
}

func newSeries(name, size string, target float64, points []Point) Series {
	line := Fit(points)
	return Series{Name: name, Size: size, Points: points, Line: line, Target: target, AtTarget: line.At(target)}
}

// Report is the outcome of all experiments.
type Report struct {
	Seconds float64  `json:"seconds"` // length of each measurement
	Series  []Series `json:"series"`
}

// WriteMarkdown writes the report as a table.
func (r Report) WriteMarkdown(w io.Writer) error {
	var b strings.Builder
	b.WriteString("| cost | grows with | measured (size: value) | base | slope | residual | extrapolated |\n")
	b.WriteString("|---|---|---|---|---|---|---|\n")
	for _, s := range r.Series {
		points := make([]string, len(s.Points))
		for i, p := range s.Points {
			points[i] = fmt.Sprintf("%.4g: %.4g", p.Size, p.Value)
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %.4g | %.4g | %.2g | %.4g at %.4g |\n",
			s.Name, s.Size, strings.Join(points, ", "), s.Line.Base, s.Line.Slope, s.Line.Residual, s.AtTarget, s.Target)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
