package replay

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cobalttide/cobalttide/workload"
)

// Result is what a run measured.
type Result struct {
	Policy  string
	Seed    uint64
	Classes []ClassResult
	// Credit is what jobs earned of what they could have, 0 to 1.
	Credit float64
	// Thrown is the work thrown away by cause, in core-seconds; ThrownShare all of
	// it against the work of all jobs.
	Thrown      map[string]float64
	ThrownShare float64
	// Completion is the mean time from a job's first send to its end, in seconds.
	Completion float64
	// Fragmentation is the share of the free accelerators that a gang of half a
	// rack can't use; Utilization the share of all that are in use. Both are means
	// over the load.
	Fragmentation, Utilization float64
	// ReclaimP99 is the wait of jobs within their account's guarantee, in seconds;
	// Violations counts those that waited for longer than the bound.
	ReclaimP99 float64
	Violations int
	// Accounts are the credits by client account.
	Accounts map[string]float64
	Series   Series
}

// ClassResult sums up one class.
type ClassResult struct {
	Name string
	// Owed jobs; of these in time, late within three times the objective,
	// worthless, refused at every try, and without an end.
	Owed, InTime, Late, Worthless, Refused, Unserved int
	// Credit is 0 to 1. Slowdown is the mean of a job's time against its chain of
	// work. Waits are until the first step has begun, in milliseconds.
	Credit, Slowdown float64
	Waits            *hdrhistogram.Histogram
}

// Run plays a pattern under a policy from a seed.
func Run(p *Pattern, policy Policy, seed uint64) *Result {
	w := newWorld(p, policy, seed)
	w.run()
	return w.result(seed)
}

// sums add up credits.
type sums struct{ earned, owed float64 }

func (s *sums) add(earned, owed float64) {
	s.earned += earned
	s.owed += owed
}

func (s sums) share() float64 {
	if s.owed == 0 {
		return 1
	}
	return s.earned / s.owed
}

// tally adds up the jobs of a run.
type tally struct {
	w                    *world
	means                map[string]float64
	all                  sums
	accounts             map[string]*sums
	completion, work     float64
	completed, violation int
	reclaims             *hdrhistogram.Histogram
}

func (w *world) result(seed uint64) *Result {
	y := &tally{w: w, means: w.meanWork(), accounts: map[string]*sums{}, reclaims: newHistogram()}
	r := &Result{Policy: w.policy.Name, Seed: seed, Thrown: w.m.thrown, Accounts: map[string]float64{}, Series: w.m.series}
	for i := range w.p.Classes {
		r.Classes = append(r.Classes, y.class(&w.p.Classes[i]))
	}
	for name, s := range y.accounts {
		r.Accounts[name] = s.share()
	}
	r.Credit = y.all.share()
	r.Completion = y.completion / max(1, float64(y.completed))
	r.Violations = y.violation
	r.ReclaimP99 = float64(y.reclaims.ValueAtQuantile(99)) / 1000
	r.Fragmentation = w.m.unusable / max(1, w.m.free)
	r.Utilization = w.m.used / max(1, w.m.used+w.m.free)
	thrown := 0.0
	for _, v := range r.Thrown {
		thrown += v
	}
	r.ThrownShare = thrown / max(1, y.work)
	return r
}

func (y *tally) class(c *Class) ClassResult {
	class := ClassResult{Name: c.Name, Waits: newHistogram()}
	var credit sums
	slowdown, slowed := 0.0, 0
	for _, a := range y.w.arrivals {
		t := y.w.jobs[a.job.ID]
		if a.class != c || t.cancelled || a.at > y.w.at {
			continue
		}
		y.work += a.work
		worth := 0.3 + 0.7*min(a.work/y.means[c.Name], 4)
		earned, owed := worth*class.count(t), worth*c.Worth
		credit.add(earned, owed)
		y.account(a).add(earned, owed)
		y.wait(&class, t)
		if t.state == workload.Completed {
			took := (t.ended - a.at).Seconds()
			y.completion += took
			y.completed++
			slowdown += took * c.Stretch / max(0.001, (t.objective-ms(c.TargetMS)).Seconds())
			slowed++
		}
	}
	class.Credit = credit.share()
	class.Slowdown = slowdown / max(1, float64(slowed))
	y.all.add(credit.earned, credit.owed)
	return class
}

func (y *tally) account(a *arrival) *sums {
	name := string(a.job.Account)
	if y.accounts[name] == nil {
		y.accounts[name] = &sums{}
	}
	return y.accounts[name]
}

// wait records how long a job waited until its first step had begun.
func (y *tally) wait(class *ClassResult, t *tracked) {
	if t.began == 0 {
		return
	}
	_ = class.Waits.RecordValue(max(1, (t.began - t.at).Milliseconds()))
	if !t.entitled || t.left > 0 {
		return
	}
	wait := t.began - t.accepted
	_ = y.reclaims.RecordValue(max(1, wait.Milliseconds()))
	if wait > ms(y.w.p.Bounds.ReclaimMS) {
		y.violation++
	}
}

// meanWork is the mean work of a job of each class.
func (w *world) meanWork() map[string]float64 {
	total, n := map[string]float64{}, map[string]float64{}
	for _, a := range w.arrivals {
		total[a.class.Name] += a.work
		n[a.class.Name]++
	}
	for name := range total {
		total[name] /= n[name]
	}
	return total
}

// count counts a job and returns what it earns before its size is counted.
func (c *ClassResult) count(t *tracked) float64 {
	c.Owed++
	took := t.ended - t.at
	done := t.state == workload.Completed || (t.state == workload.Failed && t.cantBeDone())
	switch {
	case t.refused:
		c.Refused++
	case !done:
		c.Unserved++
	case took <= t.objective:
		c.InTime++
		return t.class.Worth
	case took <= 3*t.objective:
		c.Late++
		return t.class.LateWorth
	default:
		c.Worthless++
	}
	return 0
}

// cantBeDone tells whether the job fails whatever is decided.
func (t *tracked) cantBeDone() bool {
	if t.hopeless {
		return true
	}
	for _, step := range t.fails {
		if slices.Max(step) >= t.class.Attempts {
			return true
		}
	}
	return false
}

// InTimeShare is the share of a class's jobs that were in time.
func (c ClassResult) InTimeShare() float64 { return float64(c.InTime) / max(1, float64(c.Owed)) }

// Write writes the result as a table.
func (r *Result) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(w, "policy %s, seed %d: credit %.3f, completion %.1f s, thrown away %.3f of the work, fragmentation %.2f, utilization %.2f, reclaim p99 %.2f s, violations %d\n",
		r.Policy, r.Seed, r.Credit, r.Completion, r.ThrownShare, r.Fragmentation, r.Utilization, r.ReclaimP99, r.Violations)
	fmt.Fprintln(w, "class\towed\tin time\tlate\tworthless\trefused\tunserved\tcredit\tslowdown\twait p50 ms\tp90\tp99")
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.2f\t%d\t%d\t%d\n", c.Name, c.Owed, c.InTime, c.Late, c.Worthless, c.Refused, c.Unserved,
			c.Credit, c.Slowdown, c.Waits.ValueAtQuantile(50), c.Waits.ValueAtQuantile(90), c.Waits.ValueAtQuantile(99))
	}
	for _, why := range slices.Sorted(maps.Keys(r.Thrown)) {
		fmt.Fprintf(w, "thrown away, %s:\t%.0f core-seconds\n", why, r.Thrown[why])
	}
	return w.Flush()
}
