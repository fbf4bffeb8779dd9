package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
)

// Guards against callers that are sent away while workers are free, for guaranteed work, on an old
// summary, for jobs that still have time, or without an estimate; and against a job that is
// accepted and starts when its result is worth nothing.
func TestOnlyWorkThatWouldStartTooLateIsToComeBack(t *testing.T) {
	task := workload.Step{Count: 1, Need: workload.Resources{MilliCPU: 20_000}, EstimateMS: 6000}
	gang := workload.Step{Count: 4, Gang: true, Need: workload.Resources{Accelerators: 2}, EstimateMS: 2000}
	// The last useful start of the task is 3*(3*6+1)-6 = 51 s.
	full := func(wait time.Duration) Service {
		s := poolOf(350).Services["pool"]
		for class := range s.StartMS {
			s.StartMS[class] = wait.Milliseconds()
		}
		return s
	}
	idle, free := full(200*time.Second), full(200*time.Second)
	idle.Idle = 1
	free.LargestFree = workload.Resources{MilliCPU: 30_000}
	learned := full(70 * time.Second)
	learned.EstimatePercent = [Classes]int64{200, 200, 200, 200}
	guaranteed := map[domain.AccountID]int64{"shop": 8}
	brief := workload.Step{Count: 1, Need: workload.Resources{MilliCPU: 20_000}, EstimateMS: 1}
	scheduled, perpetual := jobOf(2, task), jobOf(2, task)
	scheduled.Repetitions, perpetual.Steps[0].Perpetual = 3, true
	unknown := task
	unknown.EstimateMS = 0
	for name, c := range map[string]struct {
		job     *workload.Job
		service Service
		age     time.Duration
		back    time.Duration
	}{
		"would start too late":         {jobOf(2, task), full(70 * time.Second), 0, 19 * time.Second},
		"first priority, too late":     {jobOf(0, task), full(70 * time.Second), 0, 0},
		"beyond its guarantee":         {jobOf(0, workload.Step{Count: 5, Gang: true, Need: workload.Resources{Accelerators: 2}, EstimateMS: 6000}), full(70 * time.Second), 0, 19 * time.Second},
		"within its guarantee":         {jobOf(0, gang), full(70 * time.Second), 0, 0},
		"would start in time":          {jobOf(2, task), full(51 * time.Second), 0, 0},
		"just too late":                {jobOf(2, task), full(51*time.Second + time.Millisecond), 0, time.Millisecond},
		"nothing waits":                {jobOf(2, task), full(0), 0, 0},
		"a worker is idle":             {jobOf(2, task), idle, 0, 0},
		"a task fits":                  {jobOf(2, task), free, 0, 0},
		"worked off since the summary": {jobOf(2, brief), full(4 * time.Second), 4 * time.Second, 0},
		"estimates are too low":        {jobOf(2, task), learned, 0, 0},
		"old summary":                  {jobOf(2, task), full(70 * time.Second), MaxPoolAge + 1, 0},
		"no estimate":                  {jobOf(2, unknown), full(70 * time.Second), 0, 0},
		"not due yet":                  {scheduled, full(70 * time.Second), 0, 0},
		"without an end":               {perpetual, full(70 * time.Second), 0, 0},
	} {
		got := Decide(c.job, Snapshot{Pool: &Pool{Settled: true, Services: map[string]Service{"pool": c.service}}, PoolAge: c.age, Guaranteed: guaranteed})
		if (got.Refusal != nil) != (c.back > 0) || got.Rest != c.back {
			t.Errorf("%s: %v, come back after %v, want %v", name, got.Refusal, got.Rest, c.back)
		}
		if got.Refusal != nil && (got.Refusal.Reason != domain.ReasonOverloaded || got.Refusal.Outcome != domain.NotRun) {
			t.Errorf("%s: %+v", name, got.Refusal)
		}
	}
}

// burst is a pool that serves single tasks in order of arrival, and its load.
type burst struct {
	slots    int
	runTime  time.Duration
	normal   float64
	factor   float64
	from, to time.Duration
	admitted bool
}

type burstResult struct {
	inTime, worthless, sentAway, idleSentAway int
	// returns counts the callers that come back in each second.
	returns map[time.Duration]int
}

// play runs the load for a time. Callers that are sent away come back when they were told.
func (l burst) play(duration time.Duration) burstResult {
	const tick, maxTries = 100 * time.Millisecond, 5
	job := jobOf(2, workload.Step{Count: 1, Need: workload.Resources{MilliCPU: 64_000}, EstimateMS: l.runTime.Milliseconds()})
	job.QueueSettings.TargetMS = 3000
	last, _ := lastUsefulStart(job, 1)
	out := burstResult{returns: map[time.Duration]int{}}
	var queue, running []time.Duration
	// returning counts the tries of callers that come back.
	returning, away := map[time.Duration][]int{}, &Returns{}
	summary, owed, n := Service{}, 0.0, 0
	for now := time.Duration(0); now < duration; now += tick {
		rate := l.normal
		if now >= l.from && now < l.to {
			rate *= l.factor
		}
		for len(running) > 0 && running[0] <= now {
			running = running[1:]
		}
		if now%time.Second == 0 {
			summary = poolOf(l.slots).Services["pool"]
			backlogs := [Classes]Backlog{}
			backlogs[2].Work.Add(job.Steps[0].Need, len(queue), l.runTime)
			for _, end := range running {
				backlogs[2].Work.Add(job.Steps[0].Need, 1, end-now)
			}
			summary.Idle = l.slots - len(running)
			summary.SetStarts(backlogs, summary.Total)
		}
		owed += rate * tick.Seconds()
		calls := append(make([]int, int(owed)), returning[now]...)
		owed -= float64(int(owed))
		delete(returning, now)
		for _, tries := range calls {
			n++
			job.ID = workload.JobID(fmt.Sprintf("%016x", n*7919))
			decision := Decision{}
			if l.admitted {
				decision = Decide(job, Snapshot{Pool: &Pool{Services: map[string]Service{"pool": summary}}, PoolAge: now % time.Second})
			}
			if decision.Refusal == nil {
				queue = append(queue, now)
				continue
			}
			at := time.Unix(0, 0).Add(now)
			after := RetryAfter(Retry{Job: job.ID, Priority: 2, Rest: decision.Rest, Waiting: away.Waiting(at), PerSecond: decision.PerSecond})
			away.Add(at, 2, after)
			if tries+1 < maxTries {
				returning[now+after] = append(returning[now+after], tries+1)
			}
			out.returns[(now+after).Truncate(time.Second)]++
			out.sentAway++
			if len(running)+len(queue) < l.slots {
				out.idleSentAway++
			}
		}
		for len(queue) > 0 && len(running) < l.slots {
			if now-queue[0] <= last {
				out.inTime++
			} else {
				out.worthless++
			}
			running = append(running, now+l.runTime)
			queue = queue[1:]
		}
	}
	return out
}

// Guards against a burst of the last priority that fills the queue with work which is worth
// nothing by the time it starts: what starts must still have value, and nobody may be sent away
// while workers are free. The burst is 2.6 times the load; it lasts for longer than 4 s, since in
// 4 s the queue does not grow to what these objectives allow.
func TestABurstOfTheLastPriorityIsSentAwayInTime(t *testing.T) {
	load := burst{slots: 50, runTime: 6 * time.Second, normal: 8, factor: 2.6, from: 5 * time.Second, to: 120 * time.Second}
	without := load.play(400 * time.Second)
	load.admitted = true
	with := load.play(400 * time.Second)
	t.Logf("without: %d in time, %d worthless; with: %d in time, %d worthless, %d sent away", without.inTime, without.worthless, with.inTime, with.worthless, with.sentAway)
	// The wait grows between two summaries, and callers beyond the longest delay return together,
	// so that some start too late: no job is sent away that is expected to start in time.
	if without.worthless == 0 || with.worthless > without.worthless/4 {
		t.Errorf("%d worthless starts without admission, %d with it", without.worthless, with.worthless)
	}
	if with.inTime <= without.inTime || with.sentAway == 0 || with.idleSentAway > 0 {
		t.Errorf("%d in time, %d sent away, %d of these while workers were free", with.inTime, with.sentAway, with.idleSentAway)
	}
	load.to = 9 * time.Second
	if short := load.play(100 * time.Second); short.sentAway > 0 || short.worthless > 0 {
		t.Errorf("%d sent away, %d worthless in a burst of 4 s that can be served in time", short.sentAway, short.worthless)
	}
}
