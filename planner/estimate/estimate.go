// Package estimate corrects declared run times by what each class and account
// really took. Declarations may be off by any factor.
package estimate

import (
	"math"
	"time"

	"github.com/cobalttide/cobalttide/domain"
)

// smoothing is the weight of a new observation; about the last ten count.
const smoothing = 0.2

// maxFactor bounds the correction either way.
const maxFactor = 16

// overrun is the factor by which the expected whole run time exceeds the time
// already run, once a gang has passed its estimate.
const overrun = 1.5

type key struct {
	account domain.AccountID
	class   domain.ClassName
}

// Book learns corrections. It is a value of the planner; not safe for
// concurrent use.
type Book struct {
	logRatio map[key]float64
}

// NewBook returns a book that trusts declarations.
func NewBook() *Book { return &Book{logRatio: map[key]float64{}} }

// Learn takes in one finished gang: what was declared, and what it took.
func (b *Book) Learn(job domain.Job, took time.Duration) {
	if job.Estimate <= 0 || took <= 0 {
		return
	}
	k := key{job.Account, job.Class}
	observed := math.Log(took.Seconds() / job.Estimate.Std().Seconds())
	observed = min(max(observed, -math.Log(maxFactor)), math.Log(maxFactor))
	b.logRatio[k] += smoothing * (observed - b.logRatio[k])
}

// Expect returns the corrected run time of a job.
func (b *Book) Expect(job domain.Job) time.Duration {
	factor := math.Exp(b.logRatio[key{job.Account, job.Class}])
	return time.Duration(float64(job.Estimate.Std()) * factor)
}

// Remaining returns how much longer a gang is expected to run. A gang past its
// estimate is expected to run for half as long again as it has, so that the
// answer grows with the overrun and never becomes zero.
func (b *Book) Remaining(job domain.Job, ran time.Duration) time.Duration {
	expected := b.Expect(job)
	if ran < expected {
		return expected - ran
	}
	return time.Duration(float64(ran) * (overrun - 1))
}
