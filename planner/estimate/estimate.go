// Package estimate corrects declared run times by the actual run times of each class and
// account. Declarations may be wrong by any factor.
package estimate

import (
	"math"
	"time"

	"github.com/cobalttide/cobalttide/domain"
)

// smoothingWeight is the weight of a new observation; about the last ten count.
const smoothingWeight = 0.2

// maxFactor is the largest correction in either direction.
const maxFactor = 16

// overrunFactor is the ratio of the expected total run time to the elapsed time of a gang
// that has exceeded its estimate.
const overrunFactor = 1.5

type correctionKey struct {
	account domain.AccountID
	class   domain.ClassName
}

// Estimator holds the corrections of one planner. It is not safe for concurrent use.
type Estimator struct {
	logRatio map[correctionKey]float64
}

// NewEstimator returns an Estimator without corrections.
func NewEstimator() *Estimator { return &Estimator{logRatio: map[correctionKey]float64{}} }

// Observe updates the correction with the actual run time of a finished gang.
func (b *Estimator) Observe(job domain.Job, actual time.Duration) {
	if job.Estimate <= 0 || actual <= 0 {
		return
	}
	k := correctionKey{job.Account, job.Class}
	logFactor := math.Log(actual.Seconds() / job.Estimate.Std().Seconds())
	logFactor = min(max(logFactor, -math.Log(maxFactor)), math.Log(maxFactor))
	b.logRatio[k] += smoothingWeight * (logFactor - b.logRatio[k])
}

// Expect returns the corrected run time of a job.
func (b *Estimator) Expect(job domain.Job) time.Duration {
	factor := math.Exp(b.logRatio[correctionKey{job.Account, job.Class}])
	return time.Duration(float64(job.Estimate.Std()) * factor)
}

// Remaining returns how much longer a gang is expected to run. A gang that has exceeded
// its estimate is expected to run for half its elapsed time more, so that the result grows
// with the overrun and never becomes zero.
func (b *Estimator) Remaining(job domain.Job, elapsed time.Duration) time.Duration {
	expected := b.Expect(job)
	if elapsed < expected {
		return expected - elapsed
	}
	return time.Duration(float64(elapsed) * (overrunFactor - 1))
}
