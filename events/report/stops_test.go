package report

import (
	"fmt"
	"io"
	"maps"
	"strings"
	"testing"

	"github.com/cobalttide/cobalttide/events"
)

// stopLog is the log of a planner that stops ten runs a second and ends with a summary. Of the
// lines that the limit applies to, one in keep is kept.
func stopLog(seconds, keep int) string {
	var out strings.Builder
	write := func(at int, event, why, detail string) {
		fmt.Fprintf(&out, `{"instance":"a","job":"x","msg":%q,"why":%q,"detail":%q,"time":"2026-12-02T10:%02d:%02d.%03dZ"}`+"\n", event, why, detail, at/60000, at/1000%60, at%1000)
	}
	n := 0
	for s := range seconds {
		for i := range 10 {
			if n++; n%keep == 0 {
				write(s*1000+i*10, "run-stopping", "preempted", "core_s=2.5")
				write(s*1000+i*10, "run-stopping", "worker-leaves", "core_s=10.0 members=4 0@a 1@b 2@c 3@d")
				write(s*1000+i*10, "run-ended", "stopped", "number=1")
			}
		}
		write(s*1000+500, "round-summary", "", "stops=preempted:10:25.0,worker-leaves:40:100.0 ends=stopped:10:99.0")
	}
	return out.String()
}

func reportOf(t *testing.T, log string) *Report {
	t.Helper()
	lines, err := events.ReadLines([]io.Reader{strings.NewReader(log)})
	if err != nil {
		t.Fatal(err)
	}
	return Make(lines)
}

// Guards against a report that misses most of the lost work on a busy day: 23,000 of 181,000
// core-seconds were seen where lines over the limit were left out.
func TestLostWorkAddsUpWhereNineInTenLinesAreLeftOut(t *testing.T) {
	whole, thinned := reportOf(t, stopLog(20, 1)), reportOf(t, stopLog(20, 10))
	if whole.LostWork["preempted"] != 500 || whole.LostWork["worker-leaves"] != 2000 || whole.Stopped["worker-leaves"] != 800 {
		t.Fatalf("lost work %v by %v", whole.LostWork, whole.Stopped)
	}
	if !maps.Equal(whole.LostWork, thinned.LostWork) || !maps.Equal(whole.Stopped, thinned.Stopped) || !maps.Equal(whole.Ended, thinned.Ended) {
		t.Errorf("got %v, %v, %v, want %v, %v, %v", thinned.LostWork, thinned.Stopped, thinned.Ended, whole.LostWork, whole.Stopped, whole.Ended)
	}
}

// Guards against stops that are lost or counted twice where an instance writes no summaries, or is
// lost before the next one.
func TestStopsWithoutASummaryCountByTheirLines(t *testing.T) {
	line := func(instance, event, detail string, second int) string {
		return fmt.Sprintf(`{"instance":%q,"msg":%q,"why":"preempted","detail":%q,"time":"2026-12-02T10:00:%02d.000Z"}`+"\n", instance, event, detail, second)
	}
	got := reportOf(t, line("old", "run-stopping", "core_s=1.0", 1)+line("old", "run-stopping", "core_s=2.0", 2)+
		line("old", "started", "", 3)+line("old", "run-stopping", "core_s=4.0", 4)+line("old", "round-summary", "stops=preempted:1:4.0 ends=", 5)+
		line("new", "run-stopping", "core_s=8.0 members=3 0@a 1@b 2@c", 5)+line("new", "round-summary", "stops=preempted:3:8.0 ends=", 6)+
		line("new", "run-stopping", "core_s=16.0 members=2 0@a 1@b", 7))
	if got.LostWork["preempted"] != 31 || got.Stopped["preempted"] != 8 {
		t.Errorf("lost work %v by %v, want 31 by 8 runs", got.LostWork, got.Stopped)
	}
}
