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

// load hands jobs in at instances in turn and returns how old the states were at
// the most at any instance meanwhile.
func (p *pool) load(from, n int, every time.Duration) time.Duration {
	oldest := time.Duration(0)
	for i := range n {
		p.submit(from+i, p.instances[(7*i)%len(p.instances)])
		time.Sleep(every)
		for _, one := range p.instances {
			oldest = max(oldest, one.statesAge(time.Now()))
		}
	}
	return oldest
}

const (
	// poolWarm is when those have stopped to read the plans that began to before they knew the others.
	poolWarm = 10 * time.Second
	poolJobs = 60
)

// play runs a pool of so many instances through one load and returns the bytes
// read of each topic, and all calls.
func playPool(t *testing.T, instances int) (bytes map[Topic]int, calls int) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, instances, 40)
		defer p.stopAll()
		time.Sleep(poolWarm)
		before, callsBefore := p.read()
		if oldest := p.load(0, poolJobs, 100*time.Millisecond); oldest > 1500*time.Millisecond {
			t.Errorf("what an instance told was %v old", oldest)
		}
		p.waitFor(p.jobs, 20*time.Second)
		if len(p.planners()) != 1 || len(p.readers()) > 5 {
			t.Errorf("%d plan, %d read the plans", len(p.planners()), len(p.readers()))
		}
		if len(p.workers.twice) > 0 {
			t.Errorf("tasks began twice: %v", p.workers.twice)
		}
		after, callsAfter := p.read()
		for topic := range after {
			after[topic] -= before[topic]
		}
		bytes, calls = after, callsAfter-callsBefore
	})
	return bytes, calls
}

// read returns the bytes read so far, by topic, and all calls.
func (p *pool) read() (map[Topic]int, int) {
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	out, calls := map[Topic]int{}, 0
	for topic, n := range p.log.bytes {
		out[topic] = n
		calls += p.log.reads[topic]
	}
	return out, calls
}

// Of a job of 26 tasks with a spec of 600 bytes an instance that does not stand by
// reads its statements, whatever the number of instances.
func TestWhatAnInstanceReadsFollowsFromWhatItNeeds(t *testing.T) {
	few, fewCalls := playPool(t, 10)
	many, manyCalls := playPool(t, 150)
	total := func(bytes map[Topic]int) (sum int) {
		for _, n := range bytes {
			sum += n
		}
		return sum
	}
	// Two or three statements of some 60 bytes, and a share of heads and of answers without news.
	const mostPerJob = 400
	if each := (total(many) - total(few)) / 140 / poolJobs; each > mostPerJob {
		t.Errorf("one more instance reads %d bytes for each job; %v, %v", each, few, many)
	}
	// Plans and acceptances are read by as many as before, but for single looks.
	for _, topic := range []Topic{Plans, Jobs} {
		if many[topic] > 2*few[topic] {
			t.Errorf("%s: %d bytes at 10 instances, %d at 150", topic, few[topic], many[topic])
		}
	}
	const mostCalls = 3
	if each := float64(manyCalls-fewCalls) / 140 / (poolJobs * 0.1); each > mostCalls {
		t.Errorf("one more instance makes %.1f calls a second", each)
	}
}

// Any number of instances may be lost at once, those who stand by first: work goes
// on, nothing runs twice, and one plans in the end.
func TestWorkGoesOnWhenAllWhoStandByAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, 60, 40)
		defer p.stopAll()
		time.Sleep(poolWarm)
		p.load(0, 10, 100*time.Millisecond)
		lost := p.readers()
		if len(lost) != 5 {
			t.Fatalf("%d stand by", len(lost))
		}
		var left []*poolInstance
		for _, i := range p.instances {
			if slices.Contains(lost, i) {
				go i.stop()
			} else {
				left = append(left, i)
			}
		}
		p.instances = left
		began := time.Now()
		p.load(100, 10, 100*time.Millisecond)
		for len(p.planners()) == 0 {
			time.Sleep(50 * time.Millisecond)
			if time.Since(began) > 10*time.Second {
				t.Fatal("nobody plans")
			}
		}
		// The first wave is as many as stood by.
		if n := len(p.readers()); n > 10 {
			t.Errorf("%d instances read the plans when one had claimed", n)
		}
		p.waitFor(p.jobs, 30*time.Second)
		if len(p.workers.twice) > 0 {
			t.Errorf("tasks began twice: %v", p.workers.twice)
		}
		time.Sleep(2 * standbyLinger * 1600 * time.Millisecond)
		if n := len(p.planners()); n != 1 {
			t.Errorf("%d plan", n)
		}
	})
}

// A job that nobody has stated yet is known to an instance that follows nothing
// but the states, and one that nobody handed in is denied.
func TestAJobIsKnownBeforeItIsStated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, 20, 10)
		defer p.stopAll()
		time.Sleep(poolWarm)
		for i := range 10 {
			at, other := p.instances[i], p.instances[19-i]
			p.submit(i, at)
			state, err := p.state(other, p.jobs[i].ID)
			if err != nil {
				t.Fatalf("%s does not know what %s has just accepted: %v", other.name, at.name, err)
			}
			if state == workload.Failed || state == workload.Cancelled {
				t.Fatalf("shown as %s", state)
			}
			if _, err := p.state(other, workload.JobID(fmt.Sprintf("%016x", 1000+i))); domain.AsRefusal(err).Reason != domain.ReasonNotFound {
				t.Fatalf("a job that nobody handed in: %v", err)
			}
		}
		p.waitFor(p.jobs, 20*time.Second)
	})
}

// A caller that asks right after a job's last task has ended, at any instance, is told
// that it has: its end is on its way from the worker over the planner to the states.
func TestAnEndIsShownToWhoeverAsksRightAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, 20, 10)
		defer p.stopAll()
		time.Sleep(poolWarm)
		p.submit(1, p.instances[3])
		for ended := false; !ended; time.Sleep(5 * time.Millisecond) {
			p.workers.mu.Lock()
			p.workers.fleet.Advance(time.Now())
			ended = len(p.workers.done) == poolTasks
			p.workers.mu.Unlock()
		}
		for _, at := range []*poolInstance{p.instances[1], p.instances[17]} {
			if state, err := p.state(at, p.jobs[0].ID); err != nil || state != workload.Completed {
				t.Fatalf("%s shows %s, %v", at.name, state, err)
			}
		}
	})
}

// Whoever asks for a job that goes on is held up for a moment only, and not at all
// where there is no time for it.
func TestACallerIsNotHeldUpByAJobThatGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, 20, 10)
		defer p.stopAll()
		time.Sleep(poolWarm)
		p.submit(1, p.instances[3])
		time.Sleep(poolRun / 3)
		ask := func(has time.Duration) (time.Duration, workload.State) {
			began := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), has)
			defer cancel()
			state, err := p.instances[17].State(ctx, p.jobs[0].ID)
			if err != nil {
				t.Fatal(err)
			}
			return time.Since(began), state
		}
		if took, state := ask(3 * time.Second); took > 500*time.Millisecond || state != workload.Running {
			t.Fatalf("%s after %v", state, took)
		}
		if took, _ := ask(100 * time.Millisecond); took > 50*time.Millisecond {
			t.Fatalf("held up for %v of 100 ms", took)
		}
	})
}

// Jobs are spread over topics by their id, and every instance finds each of them where
// it is looked for, also while a home topic refuses.
func TestEveryJobIsFoundWhereItIsLookedFor(t *testing.T) {
	for _, homes := range []int{0, 1, 2, 6} {
		t.Run(fmt.Sprint(homes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newShared(poolRate)
				writer := New(Settings{Instance: "a", AcceptHomes: homes, Stale: time.Second}, log, poolDecoder{}, nil, nil, nil)
				reader := New(Settings{Instance: "b", AcceptHomes: homes, Stale: time.Second}, log, poolDecoder{}, nil, nil, nil)
				ctx, cancel := context.WithCancel(context.Background())
				var group sync.WaitGroup
				group.Go(func() { writer.acceptances.run(ctx) })
				defer func() { cancel(); group.Wait() }()
				for _, c := range writer.acceptances.committers[:1] {
					// Its home has refused: its jobs go to the next topic.
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
						t.Fatalf("job %d is not found", i)
					}
				}
				for topic, part := range log.topics {
					used[topic] = len(part.records) > 0
					if n := len(part.records); homes > 2 && n > 45 {
						t.Errorf("%d of 60 jobs are in %s", n, topic)
					}
				}
				if homes > 1 && len(used) < homes {
					t.Errorf("%d topics of %d are used", len(used), homes)
				}
			})
		})
	}
}
