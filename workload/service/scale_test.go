package service

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// submitAndMeasureAge submits jobs to the instances in turn and returns the maximum age of the
// states at any instance meanwhile.
func (p *pool) submitAndMeasureAge(from, n int, every time.Duration) time.Duration {
	oldest := time.Duration(0)
	for i := range n {
		p.submit(from+i, p.instances[(7*i)%len(p.instances)])
		time.Sleep(every)
		for _, instance := range p.instances {
			oldest = max(oldest, instance.statesAge(time.Now()))
		}
	}
	return oldest
}

const (
	// poolWarmup is the time after which instances have stopped to read the plans if they started
	// to before they knew the others.
	poolWarmup = 10 * time.Second
	poolJobs   = 60
)

// runPool submits jobs to a pool of the given size. It returns the bytes read of each topic and
// the number of calls.
func runPool(t *testing.T, instances int) (bytes map[Topic]int, calls int) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, instances, 40)
		defer p.stopAll()
		time.Sleep(poolWarmup)
		before, callsBefore := p.readTotals()
		if oldest := p.submitAndMeasureAge(0, poolJobs, 100*time.Millisecond); oldest > 1500*time.Millisecond {
			t.Errorf("the states at an instance were %v old", oldest)
		}
		p.awaitCompleted(p.jobs, 20*time.Second)
		if len(p.planners()) != 1 || len(p.plansReaders()) > 5 {
			t.Errorf("%d instances plan, %d read the plans", len(p.planners()), len(p.plansReaders()))
		}
		if len(p.workers.duplicates) > 0 {
			t.Errorf("tasks began twice: %v", p.workers.duplicates)
		}
		after, callsAfter := p.readTotals()
		for topic := range after {
			after[topic] -= before[topic]
		}
		bytes, calls = after, callsAfter-callsBefore
	})
	return bytes, calls
}

// readTotals returns the bytes read so far by topic and the number of reads.
func (p *pool) readTotals() (map[Topic]int, int) {
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	out, calls := map[Topic]int{}, 0
	for topic, n := range p.log.bytes {
		out[topic] = n
		calls += p.log.reads[topic]
	}
	return out, calls
}

// Guards against reads and calls of an instance that grow with the number of instances. Of a job
// of 26 tasks with a spec of 600 bytes, an instance that is not a standby reads only the state
// records.
func TestReadsPerInstanceDoNotGrowWithTheInstanceCount(t *testing.T) {
	t.Parallel()
	few, fewCalls := runPool(t, 10)
	many, manyCalls := runPool(t, 150)
	total := func(bytes map[Topic]int) (sum int) {
		for _, n := range bytes {
			sum += n
		}
		return sum
	}
	// Two or three state records of about 60 bytes, and a share of the heartbeats and of the
	// answers without records.
	const maxPerJob = 400
	if perInstance := (total(many) - total(few)) / 140 / poolJobs; perInstance > maxPerJob {
		t.Errorf("each additional instance reads %d bytes per job; %v, %v", perInstance, few, many)
	}
	// The number of instances that read plans and acceptances is the same, except for catch-ups.
	for _, topic := range []Topic{Plans, Jobs} {
		if many[topic] > 2*few[topic] {
			t.Errorf("%s: %d bytes read by 10 instances, %d by 150", topic, few[topic], many[topic])
		}
	}
	const maxCalls = 3
	if perInstance := float64(manyCalls-fewCalls) / 140 / (poolJobs * 0.1); perInstance > maxCalls {
		t.Errorf("each additional instance makes %.1f calls a second", perInstance)
	}
}

// Guards against a pool that stops, plans twice or runs tasks twice when many instances are lost
// at once, including all standbys.
func TestWorkContinuesWhenAllStandbysAreLost(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, 60, 40)
		defer p.stopAll()
		time.Sleep(poolWarmup)
		p.submitAndMeasureAge(0, 10, 100*time.Millisecond)
		lost := p.plansReaders()
		if len(lost) != 5 {
			t.Fatalf("%d standbys, want 5", len(lost))
		}
		var remaining []*poolInstance
		for _, i := range p.instances {
			if slices.Contains(lost, i) {
				go i.stop()
			} else {
				remaining = append(remaining, i)
			}
		}
		p.instances = remaining
		began := time.Now()
		p.submitAndMeasureAge(100, 10, 100*time.Millisecond)
		for len(p.planners()) == 0 {
			time.Sleep(50 * time.Millisecond)
			if time.Since(began) > 10*time.Second {
				t.Fatal("no instance plans")
			}
		}
		// The first activation wave is as large as the set of standbys.
		if n := len(p.plansReaders()); n > 10 {
			t.Errorf("%d instances read the plans when one had claimed the role", n)
		}
		p.awaitCompleted(p.jobs, 30*time.Second)
		if len(p.workers.duplicates) > 0 {
			t.Errorf("tasks began twice: %v", p.workers.duplicates)
		}
		time.Sleep(2 * standbyLinger * 1600 * time.Millisecond)
		if n := len(p.planners()); n != 1 {
			t.Errorf("%d instances plan", n)
		}
	})
}

// Guards against not-found for a job whose state has not been published yet, at an instance that
// follows only the states. For a job that was never submitted it returns not-found.
func TestJobIsFoundBeforeItsStateIsPublished(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, 20, 10)
		defer p.stopAll()
		time.Sleep(poolWarmup)
		for i := range 10 {
			at, other := p.instances[i], p.instances[19-i]
			p.submit(i, at)
			state, err := p.state(other, p.jobs[i].ID)
			if err != nil {
				t.Fatalf("%s does not find a job that %s has just accepted: %v", other.name, at.name, err)
			}
			if state == workload.Failed || state == workload.Cancelled {
				t.Fatalf("the job is shown as %s", state)
			}
			if _, err := p.state(other, workload.JobID(fmt.Sprintf("%016x", 1000+i))); domain.AsRefusal(err).Reason != domain.ReasonNotFound {
				t.Fatalf("the query for a job that was never submitted returned %v", err)
			}
		}
		p.awaitCompleted(p.jobs, 20*time.Second)
	})
}

// Guards against showing a job as running to a caller that queries any instance right after the
// last task has ended, while the end is being passed from the worker through the planner to the
// states.
func TestEndIsShownToCallersRightAfterIt(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, 20, 10)
		defer p.stopAll()
		time.Sleep(poolWarmup)
		p.submit(1, p.instances[3])
		for ended := false; !ended; time.Sleep(5 * time.Millisecond) {
			p.workers.mu.Lock()
			p.workers.fleet.Advance(time.Now())
			ended = len(p.workers.done) == poolTasksPerJob
			p.workers.mu.Unlock()
		}
		for _, at := range []*poolInstance{p.instances[1], p.instances[17]} {
			if state, err := p.state(at, p.jobs[0].ID); err != nil || state != workload.Completed {
				t.Fatalf("%s shows %s, %v", at.name, state, err)
			}
		}
	})
}

// Guards against long delays of queries for a running job: they are delayed for a moment only,
// and not at all if their deadline is too near.
func TestCallerIsNotDelayedByARunningJob(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, 20, 10)
		defer p.stopAll()
		time.Sleep(poolWarmup)
		p.submit(1, p.instances[3])
		time.Sleep(poolTaskTime / 3)
		query := func(timeout time.Duration) (time.Duration, workload.State) {
			began := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			state, err := p.instances[17].State(ctx, p.jobs[0].ID)
			if err != nil {
				t.Fatal(err)
			}
			return time.Since(began), state
		}
		if took, state := query(3 * time.Second); took > 500*time.Millisecond || state != workload.Running {
			t.Fatalf("the job is shown as %s after %v", state, took)
		}
		if took, _ := query(100 * time.Millisecond); took > 50*time.Millisecond {
			t.Fatalf("delayed for %v of 100 ms", took)
		}
	})
}

// Guards against jobs that other instances don't find. Jobs are distributed over topics by a hash
// of their ID, and each job is in one of the two topics that are searched for it, also while its
// home topic refuses appends.
func TestEveryJobIsFoundInItsAcceptanceTopics(t *testing.T) {
	t.Parallel()
	for _, homeTopics := range []int{0, 1, 2, 6} {
		t.Run(fmt.Sprint(homeTopics), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				log := newSharedLog(poolReadRate)
				writer := New(Settings{Instance: "a", AcceptTopics: homeTopics, StaleAfter: time.Second}, log, poolDecoder{}, nil, nil, nil)
				reader := New(Settings{Instance: "b", AcceptTopics: homeTopics, StaleAfter: time.Second}, log, poolDecoder{}, nil, nil, nil)
				ctx, cancel := context.WithCancel(context.Background())
				var group sync.WaitGroup
				group.Go(func() { writer.acceptances.run(ctx) })
				defer func() { cancel(); group.Wait() }()
				for _, c := range writer.acceptances.committers[:1] {
					// The home topic has refused an append, so its jobs go to the next topic.
					c.otherFirst.Store(true)
				}
				used := map[Topic]bool{}
				for i := range 60 {
					id := workload.JobID(fmt.Sprintf("%016x", i*7919))
					record := control.Record{Key: workload.AcceptedKey(id), Value: []byte(`{"id":"` + string(id) + `","queue":"q"}`)}
					if err := writer.acceptances.add(ctx, id, record); err != nil {
						t.Fatal(err)
					}
					if err := reader.acceptances.catchUp(ctx, id); err != nil {
						t.Fatal(err)
					}
					if _, known := reader.book.Get(id); !known {
						t.Fatalf("job %d was not found", i)
					}
				}
				for topic, part := range log.topics {
					used[topic] = len(part.records) > 0
					if n := len(part.records); homeTopics > 2 && n > 45 {
						t.Errorf("%d of 60 jobs are in %s", n, topic)
					}
				}
				if homeTopics > 1 && len(used) < homeTopics {
					t.Errorf("%d of %d topics are used", len(used), homeTopics)
				}
			})
		})
	}
}
