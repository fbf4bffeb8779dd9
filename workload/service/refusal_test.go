package service

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/events"
	"github.com/cobalttide/cobalttide/telemetry"
	"github.com/cobalttide/cobalttide/workload"
)

// reasons reads the list of reasons where it is declared, so that a new one
// can't be left out here.
func reasons(t *testing.T) []domain.Reason {
	text, err := os.ReadFile("../../domain/refusal.go")
	if err != nil {
		t.Fatal(err)
	}
	var out []domain.Reason
	for _, m := range regexp.MustCompile(`Reason\s+= "([a-z-]+)"`).FindAllStringSubmatch(string(text), -1) {
		out = append(out, domain.Reason(m[1]))
	}
	return out
}

func TestEveryReasonOfARefusalHasItsLineAndItsCounter(t *testing.T) {
	list := reasons(t)
	if len(list) < 10 {
		t.Fatalf("only %d reasons were found", len(list))
	}
	metrics := telemetry.New()
	out := &bytes.Buffer{}
	log := events.New(out, events.Fields{"instance": "a"}, metrics.Count)
	s := New(Settings{Instance: "a"}, &partly{}, nil, nil, log, metrics)
	for i, reason := range list {
		s.NoteRefusal(workload.JobID(fmt.Sprintf("%016x", i)), domain.Refuse(reason, "", "message", "remedy"))
	}
	log.Close(time.Second)
	answer := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(answer, httptest.NewRequest("GET", "/metrics", nil))
	for i, reason := range list {
		line := regexp.MustCompile(fmt.Sprintf(`"job":"%016x".*"reason":%q`, i, reason))
		if !line.MatchString(out.String()) {
			t.Errorf("no line for %s", reason)
		}
		counter := fmt.Sprintf(`cobalttide_reasons_total{event="job-refused",reason=%q} 1`, reason)
		if !strings.Contains(answer.Body.String(), counter) {
			t.Errorf("no counter for %s", reason)
		}
	}
}
