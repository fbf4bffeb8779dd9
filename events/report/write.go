package report

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Write writes the report as tables.
func (r *Report) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(w, "%.1f s of logs\n\n", r.To.Sub(r.From).Seconds())
	fmt.Fprintln(w, "queue\taccepted\tin time\tlate\tworthless\tfailed\tcancelled\tunseen ms\twaited ms\tagain ms\tworked ms\twaited for, ms")
	for _, q := range r.Queues {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%s\n", q.Name, q.Accepted, q.InTime, q.Late, q.Worthless,
			q.Failed, q.Cancelled, q.UnseenMS, q.WaitedMS, q.WastedMS, q.WorkedMS, largest(q.WaitedMSByReason))
	}
	fmt.Fprintln(w, "\nway of a job, middle/95 of 100 in ms:\taccepting\tstarting\trunning\ttelling")
	for _, q := range r.Queues {
		fmt.Fprintf(w, "%s", q.Name)
		for _, part := range []Durations{q.Phases.Accepting, q.Phases.Starting, q.Phases.Running, q.Phases.Notifying} {
			fmt.Fprintf(w, "\t%.0f/%.0f", part.QuantileMS(0.5), part.QuantileMS(0.95))
		}
		fmt.Fprintln(w)
	}
	r.writeLate(w)
	fmt.Fprintln(w, "\nwaits by reason, s:\t", largest(r.Waits))
	fmt.Fprintln(w, "refused:\t", largest(r.Refused))
	fmt.Fprintln(w, "ends of runs:\t", largest(r.Ended))
	fmt.Fprintln(w, "stopped:\t", largest(r.Stopped))
	fmt.Fprintln(w, "thrown away by stops, core-seconds:\t", largest(r.LostWork))
	for _, g := range r.Gaps {
		fmt.Fprintf(w, "nobody planned:\tfrom %.1f s for %.1f s\n", g.Start.Seconds(), g.Length.Seconds())
	}
	return w.Flush()
}

// writeLate writes the late jobs by cause, if there are any.
func (r *Report) writeLate(w io.Writer) {
	if len(r.Late.Causes) == 0 {
		return
	}
	fmt.Fprintln(w, "\nlate by cause:\t", formatCauses(r.Late.Causes))
	for _, table := range []struct {
		title  string
		groups []LateGroup
	}{{"late by queue", r.Late.ByQueue}, {"late by account", r.Late.ByAccount}, {"late by time of submission", r.Late.ByWindow}} {
		fmt.Fprintf(w, "\n%s\tlate\tcauses\n", table.title)
		for _, g := range table.groups {
			fmt.Fprintf(w, "%s\t%d\t%s\n", g.Name, g.Late, formatCauses(g.Causes))
		}
	}
}

// formatCauses formats causes as CAUSE or CAUSE(REASON), the most frequent first.
func formatCauses(causes map[string]int) string {
	out := map[string]int{}
	for cause, n := range causes {
		if name, reason, detailed := strings.Cut(cause, " "); detailed {
			cause = name + "(" + reason + ")"
		}
		out[cause] += n
	}
	return largest(out)
}

// largest formats a map with the largest value first.
func largest[V cmp.Ordered](m map[string]V) string {
	names := slices.SortedFunc(maps.Keys(m), func(a, b string) int {
		return cmp.Or(cmp.Compare(m[b], m[a]), cmp.Compare(a, b))
	})
	out := ""
	for _, name := range names {
		switch v := any(m[name]).(type) {
		case float64:
			out += fmt.Sprintf("%s=%.0f ", name, v)
		default:
			out += fmt.Sprintf("%s=%v ", name, v)
		}
	}
	return out
}

// Size of the plot.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 3 * vg.Inch
)

// Plot draws the number of accepted jobs, and of those that were not in time, by
// second of acceptance. The file name's extension selects the format.
func (r *Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text = "jobs by second of acceptance"
	p.X.Label.Text = "s"
	all, missed := make(plotter.XYs, len(r.Seconds)), make(plotter.XYs, len(r.Seconds))
	for i, s := range r.Seconds {
		all[i] = plotter.XY{X: float64(i), Y: float64(s.Accepted)}
		missed[i] = plotter.XY{X: float64(i), Y: float64(s.NotInTime)}
	}
	for i, line := range []struct {
		name   string
		points plotter.XYs
	}{{"accepted", all}, {"not in time", missed}} {
		drawn, err := plotter.NewLine(line.points)
		if err != nil {
			return err
		}
		drawn.Color = lineColours[i]
		p.Add(drawn)
		p.Legend.Add(line.name, drawn)
	}
	return p.Save(plotWidth, plotHeight, file)
}
