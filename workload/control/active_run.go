package control

import (
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// activeRun is a run that was planned or adopted and that may be running.
type activeRun struct {
	id     workload.TaskID
	key    decide.UnitKey
	step   *workload.Step
	job    *job
	worker *worker
	run    int64
	saved  string
	// resumed is set if it began with saved progress.
	resumed bool
	// savedAt is when its worker last reported newly saved progress.
	savedAt time.Time
	// ordered is set if this planner sent the start order. Otherwise the run was adopted or its
	// order is not sent yet.
	ordered    bool
	orderedAt  time.Time
	answeredAt time.Time
	answered   bool
	// superseded is set if the answer was that the run had been stopped or had ended.
	superseded bool
	confirmed  bool
	remote     bool
	// slow is set if it runs on a slow worker, or its gang has a member on one.
	slow     bool
	attempts int
	// incarnation and token are its worker's when the last start order was sent; 0 before.
	incarnation    int
	token          int64
	sentAt         time.Time
	retryAt        time.Time
	stopping       bool
	stopAcceptedAt time.Time
	stopAccepted   bool
	// settled is set once the outcome of its task is decided. The run still takes capacity.
	settled bool
	// runningSinceMS is when its worker first showed it running, by the worker's clock; 0 before.
	runningSinceMS int64
	// unstarted is set if its worker is known never to have started it, evicted if it was stopped
	// to make way for others or because of its worker.
	unstarted, evicted bool
	percent            int
	// progressedAt is when the percentage last rose, reportedAt when the worker last reported it.
	progressedAt time.Time
	reportedAt   time.Time
	// unsettledReported is set once it was reported as a run whose state can't be resolved.
	unsettledReported bool
	// metric is the worker's latest RunningRow.Metric.
	metric int
	// throttledPercent is by how many percent throttling slows the run down.
	// throttlePending is set while a throttle order is in flight.
	throttledPercent int
	throttlePending  bool
	throttledAt      time.Time
	// firstPercent is the first percentage that was reported, at firstAt.
	firstPercent int
	firstAt      time.Time
	rateCheck    rateCheck
	// crashWeight is what the loss of its worker counted as.
	crashWeight crashWeight
}
