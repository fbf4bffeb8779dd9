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

// Result holds the measurements of one run.
type Result struct {
	Policy  string
	Seed    uint64
	Classes []ClassResult
	// Credit is the credit earned as a share of the possible credit, 0 to 1.
	Credit float64
	// Wasted is the work thrown away by cause, in core-seconds; WastedShare is the total as a
	// share of the work of all jobs.
	Wasted      map[string]float64
	WastedShare float64
	// Redone is the work, by cause and in core-seconds, of runs that ended without success and from
	// which no later run resumed. Unlike Wasted it goes by the progress with which tasks start again.
	Redone map[string]redone
	// Completion is the mean time from a job's first submission to its end, in seconds.
	Completion float64
	// Fragmentation is the share of the free accelerators that a gang of half a rack can't use;
	// Utilization is the share of all accelerators that are in use. Both are means over the
	// duration of the load.
	Fragmentation, Utilization float64
	// ReclaimP99 is the 99th percentile of the waits of jobs within their account's guarantee, in
	// seconds; Violations counts the waits that exceeded the bound.
	ReclaimP99 float64
	Violations int
	// Accounts is the credit by client account, 0 to 1.
	Accounts map[string]float64
	Series   Series
}

// ClassResult holds the measurements of one class.
type ClassResult struct {
	Name string
	// Total counts the jobs; of these InTime ended within the objective, Late within three times
	// the objective, Worthless later than that. Refused jobs were refused at every attempt,
	// Unserved ones got no result.
	Total, InTime, Late, Worthless, Refused, Unserved int
	// Gangs is the number of started gangs, SlowGangs that of those with a member on a slow worker.
	Gangs, SlowGangs int
	// Credit is 0 to 1. Slowdown is the mean ratio of a job's completion time to the duration of
	// its longest chain. Waits are the times until all tasks of the first step had started, in
	// milliseconds.
	Credit, Slowdown float64
	Waits            *hdrhistogram.Histogram
}

// Run simulates a pattern under a policy with a seed.
func Run(p *Pattern, policy Policy, seed uint64) *Result {
	sim := newSimulation(p, policy, seed)
	sim.run()
	return sim.result(seed)
}

// creditSum adds up earned and possible credit.
type creditSum struct{ earned, possible float64 }

func (s *creditSum) add(earned, possible float64) {
	s.earned += earned
	s.possible += possible
}

func (s creditSum) share() float64 {
	if s.possible == 0 {
		return 1
	}
	return s.earned / s.possible
}

// summary aggregates the jobs of a run.
type summary struct {
	sim                         *simulation
	meanWork                    map[string]float64
	all                         creditSum
	accounts                    map[string]*creditSum
	completionTime, coreSeconds float64
	completed, violations       int
	reclaimWaits                *hdrhistogram.Histogram
}

func (sim *simulation) result(seed uint64) *Result {
	sum := &summary{sim: sim, meanWork: sim.meanWork(), accounts: map[string]*creditSum{}, reclaimWaits: newHistogram()}
	r := &Result{Policy: sim.policy.Name, Seed: seed, Wasted: sim.metrics.wasted, Accounts: map[string]float64{}, Series: sim.metrics.series}
	for i := range sim.pattern.Classes {
		r.Classes = append(r.Classes, sum.classResult(&sim.pattern.Classes[i]))
	}
	for name, s := range sum.accounts {
		r.Accounts[name] = s.share()
	}
	r.Credit = sum.all.share()
	r.Redone = sim.metrics.redone.byReason()
	r.Completion = sum.completionTime / max(1, float64(sum.completed))
	r.Violations = sum.violations
	r.ReclaimP99 = float64(sum.reclaimWaits.ValueAtQuantile(99)) / 1000
	r.Fragmentation = sim.metrics.unusable / max(1, sim.metrics.free)
	r.Utilization = sim.metrics.used / max(1, sim.metrics.used+sim.metrics.free)
	wasted := 0.0
	for _, v := range r.Wasted {
		wasted += v
	}
	r.WastedShare = wasted / max(1, sum.coreSeconds)
	return r
}

func (sum *summary) classResult(c *Class) ClassResult {
	gangs := sum.sim.metrics.gangs[c]
	class := ClassResult{Name: c.Name, Gangs: gangs.all, SlowGangs: gangs.slow, Waits: newHistogram()}
	var credit creditSum
	slowdown, completed := 0.0, 0
	for _, a := range sum.sim.arrivals {
		t := sum.sim.jobs[a.job.ID]
		if a.class != c || t.cancelled || a.at > sum.sim.elapsed {
			continue
		}
		sum.coreSeconds += a.coreSeconds
		weight := 0.3 + 0.7*min(a.coreSeconds/sum.meanWork[c.Name], 4)
		earned, possible := weight*class.score(t), weight*c.Value
		credit.add(earned, possible)
		sum.accountCredit(a).add(earned, possible)
		sum.recordWait(&class, t)
		if t.state == workload.Completed {
			completion := (t.endedAt - a.at).Seconds()
			sum.completionTime += completion
			sum.completed++
			slowdown += completion * c.Stretch / max(0.001, (t.objective-ms(c.TargetMS)).Seconds())
			completed++
		}
	}
	class.Credit = credit.share()
	class.Slowdown = slowdown / max(1, float64(completed))
	sum.all.add(credit.earned, credit.possible)
	return class
}

func (sum *summary) accountCredit(a *scheduledJob) *creditSum {
	name := string(a.job.Account)
	if sum.accounts[name] == nil {
		sum.accounts[name] = &creditSum{}
	}
	return sum.accounts[name]
}

// recordWait records how long a job waited until all tasks of its first step had started.
func (sum *summary) recordWait(class *ClassResult, t *trackedJob) {
	if t.startedAt == 0 {
		return
	}
	_ = class.Waits.RecordValue(max(1, (t.startedAt - t.at).Milliseconds()))
	if !t.withinGuarantee || t.notStarted > 0 {
		return
	}
	wait := t.startedAt - t.acceptedAt
	_ = sum.reclaimWaits.RecordValue(max(1, wait.Milliseconds()))
	if wait > ms(sum.sim.pattern.Bounds.ReclaimMS) {
		sum.violations++
	}
}

// meanWork returns the mean work of a job by class, in core-seconds.
func (sim *simulation) meanWork() map[string]float64 {
	total, n := map[string]float64{}, map[string]float64{}
	for _, a := range sim.arrivals {
		total[a.class.Name] += a.coreSeconds
		n[a.class.Name]++
	}
	for name := range total {
		total[name] /= n[name]
	}
	return total
}

// score counts a job and returns its credit before weighting by size.
func (c *ClassResult) score(t *trackedJob) float64 {
	c.Total++
	completion := t.endedAt - t.at
	done := t.state == workload.Completed || (t.state == workload.Failed && t.cannotSucceed())
	switch {
	case t.refused:
		c.Refused++
	case !done:
		c.Unserved++
	case completion <= t.objective:
		c.InTime++
		return t.class.Value
	case completion <= 3*t.objective:
		c.Late++
		return t.class.LateValue
	default:
		c.Worthless++
	}
	return 0
}

// cannotSucceed reports whether the job fails under any policy.
func (t *trackedJob) cannotSucceed() bool {
	if t.neverSucceeds {
		return true
	}
	for _, step := range t.failures {
		if slices.Max(step) >= t.class.Attempts {
			return true
		}
	}
	return false
}

// InTimeShare returns the share of the class's jobs that ended within their objective.
func (c ClassResult) InTimeShare() float64 { return float64(c.InTime) / max(1, float64(c.Total)) }

// Write writes the result as a table.
func (r *Result) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(w, "policy %s, seed %d: credit %.3f, completion %.1f s, thrown away %.3f of the work, fragmentation %.2f, utilization %.2f, reclaim p99 %.2f s, violations %d\n",
		r.Policy, r.Seed, r.Credit, r.Completion, r.WastedShare, r.Fragmentation, r.Utilization, r.ReclaimP99, r.Violations)
	fmt.Fprintln(w, "class\towed\tin time\tlate\tworthless\trefused\tunserved\tcredit\tslowdown\twait p50 ms\tp90\tp99")
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.2f\t%d\t%d\t%d\n", c.Name, c.Total, c.InTime, c.Late, c.Worthless, c.Refused, c.Unserved,
			c.Credit, c.Slowdown, c.Waits.ValueAtQuantile(50), c.Waits.ValueAtQuantile(90), c.Waits.ValueAtQuantile(99))
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Wasted)) {
		fmt.Fprintf(w, "thrown away, %s:\t%.0f core-seconds\n", reason, r.Wasted[reason])
	}
	return w.Flush()
}
