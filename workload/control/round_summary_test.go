package control_test

import (
	"strings"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// Guards against one line per member of a stopped gang, which fill the log on a busy day, and against
// stops that are missing in the summary.
func TestGangIsStoppedInOneLineAndSummarised(t *testing.T) {
	s := newGangScenario(t, 8*time.Second, 2*time.Second, false)
	s.announce(3, 2*time.Second)
	s.advance(1500 * time.Millisecond)
	var stops, summaries []string
	for _, line := range s.traced {
		if strings.Contains(line, " "+control.EventRunStopping+" ") {
			stops = append(stops, line)
		}
		if strings.Contains(line, " "+control.EventRoundSummary+" ") {
			summaries = append(summaries, line)
		}
	}
	if len(stops) != 1 || !strings.Contains(stops[0], "members=4 ") {
		t.Fatalf("stops are logged as %q, want one line with 4 members", stops)
	}
	_, text, _ := strings.Cut(stops[0], "core_s=")
	coreSeconds := strings.Fields(text)[0]
	if all := strings.Join(summaries, "\n"); coreSeconds == "0.0" || !strings.Contains(all, ":4:"+coreSeconds) {
		t.Errorf("summaries are %q, want one with 4 stops of %s core-seconds", all, coreSeconds)
	}
}

// Guards against tools that lose the reason of a stop: they read it by task, from lines of a whole
// gang and of a single task.
func TestStoppedTasksAreReadFromBothFormsOfALine(t *testing.T) {
	gang := workload.TaskID{Job: jobA, Step: 1, Index: 3}
	for _, event := range []control.Event{
		{Task: gang.String(), Detail: "core_s=1.0"},
		{Task: gang.StepID(), Detail: "core_s=1.0 members=1 3@w@7"},
	} {
		if got := control.StoppedTasks(event); len(got) != 1 || got[0] != gang {
			t.Errorf("%+v gives %v, want %v", event, got, gang)
		}
	}
}
