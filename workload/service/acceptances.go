package service

import (
	"context"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// acceptances are the topics of acceptances and cancellations. A partition of the log
// takes its appends one at a time, so that a log that is much slower than usual takes few a
// second in each, and submissions wait in line until long after. So jobs are spread over several topics by their id, which also tells where to look for
// one that is not known.
//
// Each job has a home topic, and the next one takes its records where that fails or is
// slow: a log may be down in part. The records are idempotent, so that one may stand in
// both.
type acceptances struct {
	// homes is the number of topics that are homes; there are two topics at the least.
	homeTopics int
	topics     []*follower
	committers []*committer
}

func newAcceptances(homes int, log Log, follow func(Topic) *follower) *acceptances {
	a := &acceptances{homeTopics: min(max(1, homes), MostAcceptTopics)}
	n := max(2, a.homeTopics)
	for i := range n {
		a.topics = append(a.topics, follow(AcceptTopic(i)))
	}
	for i := range a.homeTopics {
		a.committers = append(a.committers, newCommitter(log, AcceptTopic(i), AcceptTopic((i+1)%n)))
	}
	return a
}

// isAcceptTopic tells whether a topic has acceptances.
func isAcceptTopic(topic Topic) bool {
	return topic == SpareJobs || strings.HasPrefix(string(topic), string(Jobs))
}

// homeOf is the number of a job's home topic.
func (a *acceptances) homeIndex(id workload.JobID) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return int(h.Sum32() % uint32(a.homeTopics))
}

// of returns the two topics that may have a job's records.
func (a *acceptances) topicsOf(id workload.JobID) []*follower {
	home := a.homeIndex(id)
	return []*follower{a.topics[home], a.topics[(home+1)%len(a.topics)]}
}

// run writes what is added, until ctx ends.
func (a *acceptances) run(ctx context.Context) {
	var group sync.WaitGroup
	for _, c := range a.committers {
		group.Go(func() { c.run(ctx) })
	}
	group.Wait()
}

// add writes a record of a job (see committer.add).
func (a *acceptances) add(ctx context.Context, id workload.JobID, record control.Record) error {
	return a.committers[a.homeIndex(id)].add(ctx, record)
}

// look reads the topics that may have a job's records to their end.
func (a *acceptances) catchUp(ctx context.Context, id workload.JobID) error {
	for _, f := range a.topicsOf(id) {
		if err := f.catchUp(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (a *acceptances) ages(now time.Time) []time.Duration {
	out := make([]time.Duration, len(a.topics))
	for i, f := range a.topics {
		out[i] = f.age(now)
	}
	return out
}

func (a *acceptances) minAge(now time.Time) time.Duration { return slices.Min(a.ages(now)) }

func (a *acceptances) maxAge(now time.Time) time.Duration { return slices.Max(a.ages(now)) }

// upToDate tells whether all topics are followed and were read to their end.
func (a *acceptances) upToDate() bool {
	return !slices.ContainsFunc(a.topics, func(f *follower) bool { return !f.upToDate() })
}

// places are the offsets up to which the topics were read.
func (a *acceptances) offsets() []int64 {
	out := make([]int64, len(a.topics))
	for i, f := range a.topics {
		out[i] = f.offset()
	}
	return out
}

// cover notes that what stands before the offsets is known from elsewhere.
func (a *acceptances) skipTo(offsets []int64) {
	for i := range min(len(offsets), len(a.topics)) {
		a.topics[i].skipTo(offsets[i])
	}
}

// mayHave sorts records of jobs by the topics that may have them: the home of each,
// and the next one if anything was ever written there.
func (a *acceptances) groupByTopic(records []control.Record) map[Topic][]control.Record {
	out := map[Topic][]control.Record{}
	for _, r := range records {
		for i, f := range a.topicsOf(workload.IDOfKey(r.Key)) {
			if i == 0 || f.offset() > 0 {
				out[f.topic] = append(out[f.topic], r)
			}
		}
	}
	return out
}
