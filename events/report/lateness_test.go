package report

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/events"
)

// Guards against a cause that is named for a job although another one took longer.
func TestCauseIsThatOfTheLongestDelay(t *testing.T) {
	waits := map[string]time.Duration{unseen: 400, "no-room": 700, "waits-for-stop": 300}
	for want, d := range map[string]delays{
		"accepted-late":        {accepting: 1500, starting: waits},
		"started-late no-room": {accepting: 1300, starting: waits, slow: 1000},
		"started-late unseen":  {starting: map[string]time.Duration{unseen: 400, "no-room": 100}},
		"restarted preempted":  {starting: waits, restarting: 2000, restartReason: "preempted", slow: 1900},
		"restarted not-logged": {restarting: 1},
		"slow-member":          {starting: waits, slow: 1500, reporting: 1200},
		"reported-late":        {reporting: 1500, slow: -1500, restarting: -500},
		"unknown":              {},
	} {
		if got := d.cause(); got != want {
			t.Errorf("%+v: %s, want %s", d, got, want)
		}
	}
}

// Guards against restarts that are counted for runs after the job's end, and against failed runs that
// are counted as restarts although the objective allows for them.
func TestReasonsOfRestarts(t *testing.T) {
	for _, test := range []struct{ event, why, want string }{
		{"run-stopping", "preempted", "preempted"}, {"run-stopping", "job-over", ""}, {"run-stopping", "done-before", ""}, {"run-stopping", "gang-failed", ""}, {"run-stopping", "gang-lapsed", "gang-lapsed"},
		{"run-lost", "lease-over", "lease-over"}, {"run-vanished", "", "vanished"}, {"run-ended", "failed", ""}, {"run-ended", "stopped", ""},
	} {
		if got := restartReasonOf(events.Name(test.event), test.why); got != test.want {
			t.Errorf("%s %s: %q, want %q", test.event, test.why, got, test.want)
		}
	}
}

// Guards against waits that count for a restart after a gang has failed by itself.
func TestFailedGangIsNoRestartedStep(t *testing.T) {
	j := &job{restartedSteps: map[string]bool{}}
	j.addRestart(events.Line{Event: "run-stopping", Fields: events.Fields{"task": "x.0.0"}}, "gang-failed")
	if j.restartReason != "" || len(j.restartedSteps) != 0 {
		t.Errorf("restart for %q of %v, want none", j.restartReason, j.restartedSteps)
	}
}

// restartLog is the log of a late job that starts at once, is preempted after 2 s and waits for 3 s
// until it runs again, and of one whose slow member takes 3 s for work of 1.8 s.
var restartLog = logLine("job-accepted", "x", "", "", 1) + logLine("unit-started", "x", "", "", 1) +
	logLine("run-stopping", "x", "preempted", "core_s=9.0 members=2 0@a 1@b", 3) + logLine("unit-waits", "x", "no-room", "", 3) +
	logLine("unit-started", "x", "", "", 6) + logLine("job-completed", "x", "late", "worked_ms=2000 owed_ms=2000 objective_ms=3000", 8) +
	logLine("job-accepted", "y", "", "", 5) + logLine("unit-started", "y", "", "", 5) +
	logLine("job-completed", "y", "in-time", "worked_ms=3000 owed_ms=1800 objective_ms=2700", 8)

func logLine(event, job, why, detail string, second int) string {
	return fmt.Sprintf(`{"instance":"a","msg":%q,"job":%q,"task":%q,"queue":"q","account":%q,"why":%q,"detail":%q,"time":"2026-12-02T10:00:%02d.000Z"}`+"\n",
		event, job, job+".0.0", "of-"+job, why, detail, second)
}

// Guards against waiting after a restart that is counted as a late start, and against a job that is in
// time for its planner and late for its caller without a cause.
func TestLateJobsAreCountedByCauseWindowQueueAndAccount(t *testing.T) {
	late := reportOf(t, restartLog).Late
	if want := map[string]int{"restarted preempted": 1, "slow-member": 1}; !maps.Equal(late.Causes, want) {
		t.Fatalf("causes %v, want %v", late.Causes, want)
	}
	if n := len(late.ByWindow); n != 2 || late.ByWindow[1].Name != "   4 s" || late.ByWindow[1].Causes["slow-member"] != 1 {
		t.Errorf("windows %+v", late.ByWindow)
	}
	if len(late.ByQueue) != 1 || late.ByQueue[0].Late != 2 {
		t.Errorf("queues %+v", late.ByQueue)
	}
	if len(late.ByAccount) != 2 || late.ByAccount[0].Name != "of-x" || late.ByAccount[0].Causes["restarted preempted"] != 1 {
		t.Errorf("accounts %+v", late.ByAccount)
	}
}
