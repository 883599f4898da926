package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measured value at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Line is a straight line fitted through points by least squares.
type Line struct {
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
	// Residual is the root mean square of the differences between the points
	// and the line, in the unit of the values.
	Residual float64 `json:"residual"`
}

// Fit returns the least-squares line through the points, of which at least two
// must have different sizes.
func Fit(points []Point) Line {
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = p.Size, p.Value
	}
	base, slope := stat.LinearRegression(xs, ys, nil, false)
	var sum float64
	for i := range xs {
		d := ys[i] - base - slope*xs[i]
		sum += d * d
	}
	return Line{Base: base, Slope: slope, Residual: math.Sqrt(sum / float64(len(points)))}
}

// At returns the line's value at a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }
