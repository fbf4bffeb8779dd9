package scheduler

import (
	"cmp"
	"slices"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload/share"
)

// order returns the waiting jobs in the order in which they are considered: urgent jobs
// first, then the accounts in turns by dominant share.
func (c *cycle) order() []*WaitingJob {
	jobs := make([]*WaitingJob, len(c.Waiting))
	for i := range c.Waiting {
		jobs[i] = &c.Waiting[i]
	}
	if c.policy.FIFO {
		slices.SortStableFunc(jobs, compareSubmission)
		return jobs
	}
	return c.interleaveAccounts(jobs)
}

func compareSubmission(a, b *WaitingJob) int {
	return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Job.ID, b.Job.ID))
}

// interleaveAccounts merges the accounts' queues. The account with the lowest charge goes
// next and is charged for its job as if it had started. If that job then has to wait, its
// account has lost a turn in this plan but keeps its place in the next one.
func (c *cycle) interleaveAccounts(jobs []*WaitingJob) []*WaitingJob {
	queues := c.queues(jobs)
	charged := make(map[domain.AccountID]float64, len(queues))
	for _, q := range queues {
		charged[q.account] = c.usage.DominantShare(q.account, c.weight(q.account))
	}
	out := make([]*WaitingJob, 0, len(jobs))
	for len(out) < len(jobs) {
		next := c.nextQueue(queues, charged)
		w := next.jobs[0]
		next.jobs = next.jobs[1:]
		out = append(out, w)
		charged[next.account] += c.weightedShare(w)
	}
	return out
}

type accountQueue struct {
	account domain.AccountID
	jobs    []*WaitingJob
}

func (c *cycle) queues(jobs []*WaitingJob) []*accountQueue {
	byAccount := map[domain.AccountID]*accountQueue{}
	var queues []*accountQueue
	for _, w := range jobs {
		q, ok := byAccount[w.Job.Account]
		if !ok {
			q = &accountQueue{account: w.Job.Account}
			byAccount[w.Job.Account] = q
			queues = append(queues, q)
		}
		q.jobs = append(q.jobs, w)
	}
	slices.SortFunc(queues, func(a, b *accountQueue) int { return cmp.Compare(a.account, b.account) })
	for _, q := range queues {
		slices.SortStableFunc(q.jobs, c.compareWithinAccount)
	}
	return queues
}

// compareWithinAccount orders urgent jobs first, then by priority, then teams within their
// nominal quota, then by the highest response ratio.
func (c *cycle) compareWithinAccount(a, b *WaitingJob) int {
	return cmp.Or(
		-compareBool(a.Class.Urgent, b.Class.Urgent),
		-cmp.Compare(a.Class.Priority, b.Class.Priority),
		compareBool(c.isOverNominal(a), c.isOverNominal(b)),
		-cmp.Compare(c.responseRatio(a), c.responseRatio(b)),
		compareSubmission(a, b))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func (c *cycle) isOverNominal(w *WaitingJob) bool {
	return c.usage.IsOverNominal(w.Job, c.Accounts[w.Job.Account])
}

// responseRatio is (wait + run) / run, as in highest response ratio next scheduling. It
// grows without bound, so every job comes to the front eventually.
func (c *cycle) responseRatio(w *WaitingJob) float64 {
	run := max(w.Expected.Seconds(), 1)
	return (c.Now.Sub(w.Since).Seconds() + run) / run
}

func (c *cycle) weight(id domain.AccountID) int { return c.Accounts[id].Weight }

func (c *cycle) weightedShare(w *WaitingJob) float64 {
	used := share.Resources{Accelerators: int64(w.Job.Shape.Accelerators())}
	capacity := share.Resources{Accelerators: int64(max(1, c.usage.Capacity.Accelerators))}
	return share.Weighted(share.Dominant(used, capacity), float64(max(1, c.weight(w.Job.Account))))
}

func (c *cycle) nextQueue(queues []*accountQueue, charged map[domain.AccountID]float64) *accountQueue {
	var best *accountQueue
	for _, q := range queues {
		if len(q.jobs) > 0 && (best == nil || c.isBefore(q, best, charged)) {
			best = q
		}
	}
	return best
}

func (c *cycle) isBefore(a, b *accountQueue, charged map[domain.AccountID]float64) bool {
	urgentA, urgentB := a.jobs[0].Class.Urgent, b.jobs[0].Class.Urgent
	if urgentA != urgentB {
		return urgentA
	}
	return charged[a.account] < charged[b.account]
}
