package events

import (
	"io"
	"strings"
	"testing"
)

const firstLog = `  1.0 edge-1 {"instance":"edge-1","job":"a","level":"info","msg":"job-accepted","took_ms":6,"time":"2026-12-02T10:00:01.000Z"}
not a line of ours
{"instance":"edge-1","level":"info","msg":"planner-begins","token":3,"time":"2026-12-02T10:00:02.000Z"}
{"instance":"edge-1","level":"info","msg":"planner-begins","token":9,"time":"2026-12-02T10:00:09.000Z"}
{"instance":"edge-1","job":"b","level":"info","msg":"job-accepted","time":"2026-12-02T10:00:01.500Z"}
`

const secondLog = `{"instance":"edge-2","job":"a","level":"info","msg":"job-completed","token":3,"time":"2026-12-02T10:00:04.250Z"}
`

func TestAStoryJoinsTheLogsOfInstancesInOrder(t *testing.T) {
	story, err := JobHistory([]io.Reader{strings.NewReader(secondLog), strings.NewReader(firstLog)}, "a", true)
	if err != nil {
		t.Fatal(err)
	}
	out := &strings.Builder{}
	if err := WriteLines(out, story); err != nil {
		t.Fatal(err)
	}
	want := []string{"+0.000s edge-1", "took_ms=6", "+1.000s edge-1", "planner-begins", "+3.250s edge-2", "job-completed"}
	text := out.String()
	for _, part := range want {
		i := strings.Index(text, part)
		if i < 0 {
			t.Fatalf("%q is missing or out of order in\n%s", part, out)
		}
		text = text[i:]
	}
	if strings.Contains(out.String(), "token=9") {
		t.Fatal("an event after the job's last is included")
	}
}
