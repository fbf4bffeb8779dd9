package control

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/workload/decide"
)

// rating is the progress rate of one run of a step, as the logarithm of percent per second.
type rating struct {
	worker string
	rate   float64
}

// speed is the estimated speed of a worker, from steps whose runs were spread over several
// workers: the logarithm of how much faster it was than the others.
type speed struct {
	// sum and runs are from jobs that have ended, openSum and openRuns from the others.
	sum, runs         float64
	openSum, openRuns float64
	// startMS is when the worker's incarnation started that was last seen; 0 is unknown.
	startMS int64
	// recorded is the class of the worker in the newest record for a successor.
	recorded keptClass
	// missingSince is since when there is no worker with this id; zero if there is one.
	missingSince time.Time
}

const (
	// speedsInterval is how often open runs are compared.
	speedsInterval = time.Second
	// minProgress is the progress in percent from which on a run is rated, since progress is
	// reported in whole percent.
	minProgress = 10
	// minRatedRuns is the minimum number of runs of a step to compare.
	minRatedRuns = 3
	// maxApart limits the factor by which a run may differ from the others of its step and still
	// be attributed to its worker. A larger difference is due to the task: a few tasks take many
	// times as long as the rest.
	maxApart = 2
	// speedPrior is the number of runs of average speed that each worker is credited with at
	// first, since the tasks of a step differ in length too.
	speedPrior = 1.5
)

// logFactor returns the speed as a logarithm; 0 is the average.
func (s *speed) logFactor() float64 {
	if s == nil {
		return 0
	}
	return (s.sum + s.openSum) / (s.runs + s.openRuns + speedPrior)
}

// factor returns the speed as a factor of the average.
func (s *speed) factor() float64 {
	if s == nil {
		return 1
	}
	return math.Exp(s.logFactor())
}

// isRated reports whether the progress of a run shows how fast its worker is.
func (r *activeRun) isRated() bool { return !r.step.Perpetual && !r.step.BestEffortCPU }

// updateRating updates the progress rate of a run, for a gang's member with its own share. Remote
// runs are not rated: they are slow on any worker. Neither are those on slowed workers, which are
// slow only for some seconds.
func (r *activeRun) updateRating() {
	if r.remote || r.rateCheck.slowed {
		return
	}
	progress, took := r.percent-r.firstPercent, r.progressedAt.Sub(r.firstAt)
	if progress < minProgress || took <= 0 {
		return
	}
	rates := r.job.rates[r.key]
	if rates == nil {
		rates = map[int]rating{}
		r.job.rates[r.key] = rates
	}
	rates[r.id.Index] = rating{r.worker.ID, math.Log(float64(progress) / took.Seconds())}
}

// learnSpeeds compares the runs of open steps.
func (c *Core) learnSpeeds(now time.Time) {
	if now.Sub(c.speedsUpdatedAt) < speedsInterval {
		return
	}
	c.speedsUpdatedAt = now
	for _, s := range c.speeds {
		s.openSum, s.openRuns = 0, 0
	}
	c.dropMissingSpeeds(now)
	for _, id := range sortedKeys(c.jobs) {
		c.compareRuns(c.jobs[id], func(s *speed, by float64) {
			s.openSum += by
			s.openRuns++
		})
	}
	c.speedRecords.due = true
}

// keepSpeeds keeps the comparison of a job's runs after its end.
func (c *Core) keepSpeeds(j *job) {
	c.compareRuns(j, func(s *speed, by float64) {
		s.sum += by
		s.runs++
	})
}

// compareRuns calls add for each rated run, with its worker's speed and by how much the run was
// faster than the others of its step would have been on an average worker.
func (c *Core) compareRuns(j *job, add func(*speed, float64)) {
	for _, key := range sortedUnits(j.rates) {
		rates := j.rates[key]
		if len(rates) < minRatedRuns {
			continue
		}
		sum := 0.0
		for _, index := range sortedKeys(rates) {
			sum += rates[index].rate - c.speeds[rates[index].worker].logFactor()
		}
		for _, index := range sortedKeys(rates) {
			r := rates[index]
			if c.workers[r.worker] == nil {
				continue
			}
			own := r.rate - c.speeds[r.worker].logFactor()
			difference := r.rate - (sum-own)/float64(len(rates)-1)
			add(c.speedOf(r.worker), min(max(difference, -math.Log(maxApart)), math.Log(maxApart)))
		}
	}
}

func (c *Core) speedOf(worker string) *speed {
	s := c.speeds[worker]
	if s == nil {
		s = &speed{}
		c.speeds[worker] = s
	}
	return s
}

func sortedUnits(m map[decide.UnitKey]map[int]rating) []decide.UnitKey {
	out := make([]decide.UnitKey, 0, len(m))
	for key := range m {
		out = append(out, key)
	}
	slices.SortFunc(out, func(a, b decide.UnitKey) int {
		return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step))
	})
	return out
}
