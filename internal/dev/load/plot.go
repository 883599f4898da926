package load

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of the plot in points.
const (
	plotWidth  vg.Length = 680
	plotHeight vg.Length = 340
)

// stepsPerPoint is the number of timeline steps that one point of the plot
// averages.
const stepsPerPoint = 5

// Plot draws the work done over time to a file; its extension, .svg or .png,
// selects the format.
func (r *Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text = "Work done, " + r.Deployment
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = "tasks running"
	p.Y.Min = 0
	p.Legend.Top = true
	for _, l := range []struct {
		name   string
		values []float64
		colour color.Color
	}{
		{"slots in service", r.timeline.slots, color.Gray{Y: 160}},
		{"possible", r.timeline.possible, color.RGBA{R: 230, G: 140, A: 255}},
		{"work done", r.timeline.done, color.RGBA{B: 200, A: 255}},
	} {
		line, err := plotter.NewLine(averageRates(l.values))
		if err != nil {
			return err
		}
		line.Color = l.colour
		p.Add(line)
		p.Legend.Add(l.name, line)
	}
	top := 0.0
	for _, v := range r.timeline.slots {
		top = max(top, v/timelineStep.Seconds())
	}
	for _, e := range r.events {
		x := e.effectiveAt.Seconds()
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: top}})
		if err != nil {
			return err
		}
		line.Color, line.Dashes = color.RGBA{R: 200, A: 255}, []vg.Length{vg.Points(3), vg.Points(3)}
		p.Add(line)
		p.Legend.Add(e.String(), line)
	}
	return p.Save(plotWidth, plotHeight, file)
}

// averageRates converts task-seconds per step to the mean number of running
// tasks, with one point for each stepsPerPoint steps.
func averageRates(values []float64) plotter.XYs {
	var out plotter.XYs
	for i := 0; i+stepsPerPoint <= len(values); i += stepsPerPoint {
		sum := 0.0
		for _, v := range values[i : i+stepsPerPoint] {
			sum += v
		}
		out = append(out, plotter.XY{
			X: (float64(i) + stepsPerPoint/2.0) * timelineStep.Seconds(),
			Y: sum / (stepsPerPoint * timelineStep.Seconds()),
		})
	}
	return out
}
