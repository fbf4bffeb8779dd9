package replay

import (
	"fmt"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 3 * vg.Inch
)

// WritePlots writes SVG plots of the queue, the free accelerators and the starts over time into a
// folder, for both policies on the first seed.
func (e *Experiment) WritePlots(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, one := range []struct {
		name, title string
		values      func(Series) []float64
	}{
		{"queue", "jobs not yet started", func(s Series) []float64 { return s.Waiting }},
		{"room", "free accelerators", func(s Series) []float64 { return s.Free }},
		{"starts", "runs started per 0.1 s", func(s Series) []float64 { return s.Starts }},
	} {
		p := plot.New()
		p.Title.Text = fmt.Sprintf("%s: %s", e.Pattern, one.title)
		p.X.Label.Text = "s"
		if err := plotutil.AddLines(p, e.A[0].Policy, points(one.values(e.A[0].Series)), e.B[0].Policy, points(one.values(e.B[0].Series))); err != nil {
			return err
		}
		if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, one.name+".svg")); err != nil {
			return err
		}
	}
	return nil
}

func points(values []float64) plotter.XYs {
	out := make(plotter.XYs, len(values))
	for i, v := range values {
		out[i] = plotter.XY{X: float64(i) * sampleInterval.Seconds(), Y: v}
	}
	return out
}
