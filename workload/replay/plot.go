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

// Plots writes the queue, the room and the starts over time of both policies on
// the first seed, as SVG files into a folder.
func (e *Experiment) Plots(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, one := range []struct {
		name, title string
		of          func(Series) []float64
	}{
		{"queue", "jobs that have not begun", func(s Series) []float64 { return s.Waiting }},
		{"room", "accelerators that nothing holds", func(s Series) []float64 { return s.Free }},
		{"starts", "runs begun in a tenth of a second", func(s Series) []float64 { return s.Starts }},
	} {
		p := plot.New()
		p.Title.Text = fmt.Sprintf("%s: %s", e.Pattern, one.title)
		p.X.Label.Text = "s"
		if err := plotutil.AddLines(p, e.A[0].Policy, points(one.of(e.A[0].Series)), e.B[0].Policy, points(one.of(e.B[0].Series))); err != nil {
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
		out[i] = plotter.XY{X: float64(i) * sampleEvery.Seconds(), Y: v}
	}
	return out
}
