package service

import (
	"bytes"
	"context"
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

// declaredReasons reads the reasons from the source file that declares them, so that the test
// covers new ones too.
func declaredReasons(t *testing.T) []domain.Reason {
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

// Guards against refusals that are not logged or not counted by their reason.
func TestEveryRefusalReasonIsLoggedAndCounted(t *testing.T) {
	list := declaredReasons(t)
	if len(list) < 10 {
		t.Fatalf("only %d declared reasons were found", len(list))
	}
	metrics := telemetry.New()
	out := &bytes.Buffer{}
	log := events.New(out, events.Fields{"instance": "a"}, metrics.CountEvent)
	s := New(Settings{Instance: "a"}, &partialLog{}, nil, nil, log, metrics)
	for i, reason := range list {
		_ = s.Refuse(context.Background(), workload.JobID(fmt.Sprintf("%016x", i)), domain.Refuse(reason, "", "message", "remedy"))
	}
	log.Close(time.Second)
	answer := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(answer, httptest.NewRequest("GET", "/metrics", nil))
	for i, reason := range list {
		line := regexp.MustCompile(fmt.Sprintf(`"job":"%016x".*"reason":%q`, i, reason))
		if !line.MatchString(out.String()) {
			t.Errorf("no log line for reason %s", reason)
		}
		counter := fmt.Sprintf(`cobalttide_reasons_total{event="job-refused",reason=%q} 1`, reason)
		if !strings.Contains(answer.Body.String(), counter) {
			t.Errorf("no counter for reason %s", reason)
		}
	}
}
