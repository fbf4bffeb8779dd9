package report

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/cobalttide/cobalttide/events"
)

const sampleLog = `
{"instance":"a","level":"info","msg":"started","time":"2026-12-02T10:00:00.000Z"}
{"instance":"a","level":"info","msg":"planner-begins","token":1,"time":"2026-12-02T10:00:01.000Z"}
{"instance":"b","job":"x","queue":"q","level":"info","msg":"job-accepted","time":"2026-12-02T10:00:02.000Z"}
{"instance":"a","job":"x","level":"info","msg":"unit-waits","why":"no-room","time":"2026-12-02T10:00:02.100Z"}
{"instance":"a","job":"x","level":"info","msg":"unit-waits","why":"waits-for-stop","time":"2026-12-02T10:00:03.100Z"}
{"instance":"a","job":"x","level":"info","msg":"unit-started","time":"2026-12-02T10:00:03.600Z"}
{"instance":"a","job":"x","level":"info","msg":"run-stopping","why":"preempted","detail":"core_s=12.5","time":"2026-12-02T10:00:04.000Z"}
{"instance":"a","job":"x","level":"info","msg":"run-ended","why":"stopped","time":"2026-12-02T10:00:04.500Z"}
{"instance":"a","job":"x","level":"info","msg":"unit-started","time":"2026-12-02T10:00:05.000Z"}
{"instance":"a","job":"x","level":"info","msg":"job-completed","why":"late","detail":"queue=q took_ms=5000 worked_ms=2000 objective_ms=3000","time":"2026-12-02T10:00:07.000Z"}
{"instance":"c","job":"x","level":"info","msg":"job-shown","state":"completed","time":"2026-12-02T10:00:07.200Z"}
{"instance":"b","job":"y","queue":"q","level":"info","msg":"job-accepted","time":"2026-12-02T10:00:03.000Z"}
{"instance":"a","job":"y","level":"info","msg":"job-completed","why":"in-time","time":"2026-12-02T10:00:04.000Z"}
{"instance":"b","job":"z","level":"info","msg":"job-refused","reason":"log-unavailable","outcome":"not-run","time":"2026-12-02T10:00:05.000Z"}
{"instance":"c","job":"w","queue":"r","level":"info","msg":"job-refused","reason":"log-unavailable","outcome":"unknown","time":"2026-12-02T10:00:02.000Z"}
{"instance":"b","job":"w","queue":"r","took_ms":100,"level":"info","msg":"job-accepted","time":"2026-12-02T10:00:03.500Z"}
{"instance":"a","job":"w","level":"info","msg":"unit-started","time":"2026-12-02T10:00:03.600Z"}
{"instance":"a","job":"w","level":"info","msg":"job-completed","why":"in-time","detail":"queue=r took_ms=2500 worked_ms=2400 objective_ms=3000","time":"2026-12-02T10:00:06.000Z"}
{"instance":"b","job":"w","level":"info","msg":"job-shown","state":"completed","time":"2026-12-02T10:00:06.200Z"}
{"instance":"a","level":"info","msg":"planner-ends","time":"2026-12-02T10:00:08.000Z"}
{"instance":"b","level":"info","msg":"planner-begins","token":9,"time":"2026-12-02T10:00:09.500Z"}
`

func makeReport(t *testing.T) *Report {
	t.Helper()
	lines, err := events.ReadLines([]io.Reader{strings.NewReader(sampleLog)})
	if err != nil {
		t.Fatal(err)
	}
	return Make(lines)
}

func TestReportBreaksDownTheTimeOfLateJobs(t *testing.T) {
	var out bytes.Buffer
	if err := makeReport(t).Write(&out); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "report", out.Bytes())
}

// Job w is in time by the planner's times but late for its caller: its first submission was
// refused 1.5 s before the acceptance, and its end was shown 0.2 s after it. The report must
// use the caller's times.
func TestLatenessIsMeasuredByTheCallersTimes(t *testing.T) {
	for _, q := range makeReport(t).Queues {
		if q.Name == "r" && (q.InTime != 0 || q.Late != 1 || q.Phases.Accepting.QuantileMS(0.5) != 1500 || q.Phases.Notifying.QuantileMS(0.5) != 200) {
			t.Fatalf("%+v", q)
		}
	}
}

func TestAReportIsPlotted(t *testing.T) {
	file := filepath.Join(t.TempDir(), "late.svg")
	if err := makeReport(t).Plot(file); err != nil {
		t.Fatal(err)
	}
	if text, err := os.ReadFile(file); err != nil || !bytes.Contains(text, []byte("<svg")) {
		t.Fatalf("%.40s, %v", text, err)
	}
}
