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

// Experiment is two policies on the same seeds.
type Experiment struct {
	Pattern  string
	A, B     []*Result
	Measures []Comparison
}

// Verdict says how a policy stands to another.
type Verdict string

// The verdicts, of B against A.
const (
	Better  Verdict = "better"
	Worse   Verdict = "worse"
	NotTold Verdict = "not told apart"
)

// Comparison is one measure of both policies.
type Comparison struct {
	Measure string
	// A and B are the means, Difference that of B - A by seed, with half of its
	// 95 % confidence interval.
	A, B, Difference, Half float64
	Verdict                Verdict
}

// Compare plays a pattern under two policies on seeds from first on.
func Compare(p *Pattern, a, b Policy, first uint64, seeds int) *Experiment {
	e := &Experiment{Pattern: p.Name, A: make([]*Result, seeds), B: make([]*Result, seeds)}
	room := make(chan struct{}, runtime.GOMAXPROCS(0))
	var group sync.WaitGroup
	for i := range seeds {
		for _, side := range []struct {
			policy Policy
			out    []*Result
		}{{a, e.A}, {b, e.B}} {
			group.Go(func() {
				room <- struct{}{}
				defer func() { <-room }()
				side.out[i] = Run(p, side.policy, first+uint64(i))
			})
		}
	}
	group.Wait()
	e.compare()
	return e
}

// measured is one figure of a result; less tells that less is better.
type measured struct {
	name string
	less bool
	of   func(*Result) float64
}

func (e *Experiment) measures() []measured {
	out := []measured{{"credit", false, func(r *Result) float64 { return r.Credit }}}
	for i, c := range e.A[0].Classes {
		out = append(out, measured{c.Name + " in time", false, func(r *Result) float64 { return r.Classes[i].InTimeShare() }})
	}
	return append(out,
		measured{"thrown away, share", true, func(r *Result) float64 { return r.ThrownShare }},
		measured{"completion, s", true, func(r *Result) float64 { return r.Completion }},
		measured{"fragmentation", true, func(r *Result) float64 { return r.Fragmentation }},
		measured{"utilization", false, func(r *Result) float64 { return r.Utilization }},
		measured{"reclaim p99, s", true, func(r *Result) float64 { return r.ReclaimP99 }},
		measured{"violations", true, func(r *Result) float64 { return float64(r.Violations) }},
	)
}

func (e *Experiment) compare() {
	for _, m := range e.measures() {
		a, b, d := make([]float64, len(e.A)), make([]float64, len(e.A)), make([]float64, len(e.A))
		for i := range e.A {
			a[i], b[i] = m.of(e.A[i]), m.of(e.B[i])
			d[i] = b[i] - a[i]
		}
		c := Comparison{Measure: m.name, A: stat.Mean(a, nil), B: stat.Mean(b, nil), Difference: stat.Mean(d, nil), Half: halfInterval(d), Verdict: NotTold}
		if math.Abs(c.Difference) > c.Half {
			c.Verdict = Better
			if (c.Difference > 0) == m.less {
				c.Verdict = Worse
			}
		}
		e.Measures = append(e.Measures, c)
	}
}

// halfInterval is half of the 95 % confidence interval of a mean.
func halfInterval(d []float64) float64 {
	if len(d) < 2 {
		return math.Inf(1)
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(d) - 1)}.Quantile(0.975)
	return t * stat.StdDev(d, nil) / math.Sqrt(float64(len(d)))
}

// Write writes the comparison as a table.
func (e *Experiment) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(w, "pattern %s, %d seeds from %d; A is %s, B is %s\n", e.Pattern, len(e.A), e.A[0].Seed, e.A[0].Policy, e.B[0].Policy)
	fmt.Fprintln(w, "measure\tA\tB\tB - A\t95 %\tB is")
	for _, c := range e.Measures {
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%+.3f\t%.3f\t%s\n", c.Measure, c.A, c.B, c.Difference, c.Half, c.Verdict)
	}
	return w.Flush()
}
