package replay

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"sync"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Experiment holds the results of two policies on the same seeds.
type Experiment struct {
	Pattern     string
	A, B        []*Result
	Comparisons []Comparison
}

// Outcome is the result of comparing one policy with another.
type Outcome string

// Outcomes of B compared with A. Inconclusive means that the difference is within the margin of
// error.
const (
	Better       Outcome = "better"
	Worse        Outcome = "worse"
	Inconclusive Outcome = "not told apart"
)

// Comparison compares both policies by one metric.
type Comparison struct {
	Metric string
	// A and B are the means, Difference is the mean of B - A over the seeds, and Margin is half
	// the width of its 95 % confidence interval.
	A, B, Difference, Margin float64
	Outcome                  Outcome
}

// Compare runs a pattern under two policies, on the given number of seeds starting with first.
func Compare(p *Pattern, a, b Policy, first uint64, seeds int) *Experiment {
	e := &Experiment{Pattern: p.Name, A: make([]*Result, seeds), B: make([]*Result, seeds)}
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var group sync.WaitGroup
	for i := range seeds {
		for _, side := range []struct {
			policy Policy
			out    []*Result
		}{{a, e.A}, {b, e.B}} {
			group.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				side.out[i] = Run(p, side.policy, first+uint64(i))
			})
		}
	}
	group.Wait()
	e.compare()
	return e
}

// metric is one figure of a result.
type metric struct {
	name          string
	lowerIsBetter bool
	value         func(*Result) float64
}

func (e *Experiment) metrics() []metric {
	out := []metric{{"credit", false, func(r *Result) float64 { return r.Credit }}}
	for i, c := range e.A[0].Classes {
		out = append(out, metric{c.Name + " in time", false, func(r *Result) float64 { return r.Classes[i].InTimeShare() }})
	}
	return append(out,
		metric{"thrown away, share", true, func(r *Result) float64 { return r.WastedShare }},
		metric{"completion, s", true, func(r *Result) float64 { return r.Completion }},
		metric{"fragmentation", true, func(r *Result) float64 { return r.Fragmentation }},
		metric{"utilization", false, func(r *Result) float64 { return r.Utilization }},
		metric{"reclaim p99, s", true, func(r *Result) float64 { return r.ReclaimP99 }},
		metric{"violations", true, func(r *Result) float64 { return float64(r.Violations) }},
	)
}

func (e *Experiment) compare() {
	for _, m := range e.metrics() {
		a, b, d := make([]float64, len(e.A)), make([]float64, len(e.A)), make([]float64, len(e.A))
		for i := range e.A {
			a[i], b[i] = m.value(e.A[i]), m.value(e.B[i])
			d[i] = b[i] - a[i]
		}
		c := Comparison{Metric: m.name, A: stat.Mean(a, nil), B: stat.Mean(b, nil), Difference: stat.Mean(d, nil), Margin: marginOfError(d), Outcome: Inconclusive}
		if math.Abs(c.Difference) > c.Margin {
			c.Outcome = Better
			if (c.Difference > 0) == m.lowerIsBetter {
				c.Outcome = Worse
			}
		}
		e.Comparisons = append(e.Comparisons, c)
	}
}

// marginOfError returns half the width of the 95 % confidence interval of the mean.
func marginOfError(differences []float64) float64 {
	if len(differences) < 2 {
		return math.Inf(1)
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(differences) - 1)}.Quantile(0.975)
	return t * stat.StdDev(differences, nil) / math.Sqrt(float64(len(differences)))
}

// Write writes the comparison as a table.
func (e *Experiment) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(w, "pattern %s, %d seeds from %d; A is %s, B is %s\n", e.Pattern, len(e.A), e.A[0].Seed, e.A[0].Policy, e.B[0].Policy)
	fmt.Fprintln(w, "measure\tA\tB\tB - A\t95 %\tB is")
	for _, c := range e.Comparisons {
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%+.3f\t%.3f\t%s\n", c.Metric, c.A, c.B, c.Difference, c.Margin, c.Outcome)
	}
	return w.Flush()
}
