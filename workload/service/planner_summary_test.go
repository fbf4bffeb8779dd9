package service

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/events"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// Guards against ends that are missing in the summaries because no round was made while readings were
// stale, or because the planner ended less than a second after the last summary.
func TestSummariesNeedNoRoundAndPrecedeThePlannersEnd(t *testing.T) {
	out := &bytes.Buffer{}
	s := New(Settings{Instance: "a"}, &memoryLog{}, poolDecoder{}, nil, events.New(out, events.Fields{}, nil), nil)
	now := s.clock.Now()
	p := &planner{s: s, core: control.New(control.Bounds{Heartbeat: 10 * time.Second}, 2, now)}
	const job = workload.JobID("0000000000000001")
	placed := []byte(`{"state":"running","begun":true,"next":1,"open":[{"s":[[{"p":1,"r":1,"w":"w"},{"p":1,"r":2,"w":"w"}]]}]}`)
	p.core.Adopt(job, workload.Entry{Job: &workload.Job{ID: job, Steps: []workload.Step{{Count: 2}}}, Progress: placed})
	p.core.SetWorkers([]control.Listing{{ID: "w", Address: "w"}}, now)
	end := func(number int64, index int) {
		row := control.EndedRow{Number: number, Task: workload.TaskID{Job: job, Index: index}, Run: number, End: control.EndDone}
		p.core.HandleRenewal(control.RenewalOrder{Worker: "w", Token: 2}, control.RenewalAnswer{Result: control.Accepted, ClockMS: 100_000, Ended: []control.EndedRow{row}}, now, now)
	}
	end(1, 0)
	p.logNotes()
	end(2, 1)
	p.logNotes()
	p.logEnd("succeeded")
	s.events.Close(time.Second)
	text := out.String()
	if ends, summaries := strings.Count(text, `"msg":"run-ended"`), strings.Count(text, "ends=done:1:"); ends != 2 || summaries != 2 {
		t.Fatalf("%d ends and %d summaries of one end, want two each:\n%s", ends, summaries, text)
	}
	if strings.LastIndex(text, control.EventRoundSummary) > strings.Index(text, string(events.PlannerEnds)) {
		t.Errorf("the last summary follows the planner's end:\n%s", text)
	}
}
