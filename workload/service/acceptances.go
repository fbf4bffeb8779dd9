package service

import (
	"context"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// acceptances are the topics that hold acceptances and cancellations of jobs. A partition of
// the log handles one append at a time: when the log is much slower than usual, each partition
// completes only a few appends a second and submissions queue up for a long time. Jobs are
// therefore distributed over several topics by a hash of their ID, which also determines the
// topics to search for an unknown job.
//
// Each job has a home topic. The topic after it takes the records when an append to the home
// topic fails or is slow, since the log may be partly unavailable. The records are idempotent,
// so the same record may be in both topics.
type acceptances struct {
	// homeTopics is the number of topics that serve as home topics. There are always at least
	// two topics.
	homeTopics int
	topics     []*follower
	committers []*committer
}

func newAcceptances(homeTopics int, log Log, follow func(Topic) *follower) *acceptances {
	a := &acceptances{homeTopics: min(max(1, homeTopics), MaxAcceptTopics)}
	n := max(2, a.homeTopics)
	for i := range n {
		a.topics = append(a.topics, follow(AcceptTopic(i)))
	}
	pendingBytes := &atomic.Int64{}
	for i := range a.homeTopics {
		c := newCommitter(log, AcceptTopic(i), AcceptTopic((i+1)%n))
		c.pendingBytes = pendingBytes
		a.committers = append(a.committers, c)
	}
	return a
}

// isAcceptTopic reports whether a topic holds acceptances.
func isAcceptTopic(topic Topic) bool {
	return topic == SpareJobs || strings.HasPrefix(string(topic), string(Jobs))
}

// homeIndex returns the index of a job's home topic.
func (a *acceptances) homeIndex(id workload.JobID) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return int(hash.Sum32() % uint32(a.homeTopics))
}

// topicsOf returns the two topics that may hold a job's records.
func (a *acceptances) topicsOf(id workload.JobID) []*follower {
	home := a.homeIndex(id)
	return []*follower{a.topics[home], a.topics[(home+1)%len(a.topics)]}
}

// run writes the added records until ctx ends.
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

// catchUp reads the topics that may hold a job's records to their end.
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

// upToDate reports whether all topics are being followed and have been read to their end.
func (a *acceptances) upToDate() bool {
	return !slices.ContainsFunc(a.topics, func(f *follower) bool { return !f.upToDate() })
}

// offsets returns the offset up to which each topic has been read.
func (a *acceptances) offsets() []int64 {
	out := make([]int64, len(a.topics))
	for i, f := range a.topics {
		out[i] = f.offset()
	}
	return out
}

// skipTo records that everything before the offsets is known from another topic.
func (a *acceptances) skipTo(offsets []int64) {
	for i := range min(len(offsets), len(a.topics)) {
		a.topics[i].skipTo(offsets[i])
	}
}

// groupByTopic groups records of jobs by the topics that may hold them: the home topic of each
// job, and the next topic if anything was ever written there.
func (a *acceptances) groupByTopic(records []control.Record) map[Topic][]control.Record {
	out := map[Topic][]control.Record{}
	for _, r := range records {
		for i, f := range a.topicsOf(workload.JobIDOfKey(r.Key)) {
			if i == 0 || f.offset() > 0 {
				out[f.topic] = append(out[f.topic], r)
			}
		}
	}
	return out
}
