package events

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter is an output whose writes block until it is released.
type blockedWriter struct{ release chan struct{} }

func (n blockedWriter) Write(p []byte) (int, error) {
	<-n.release
	return len(p), nil
}

func TestAnOutputThatNobodyReadsNeverBlocksADecision(t *testing.T) {
	out := blockedWriter{make(chan struct{})}
	counted := 0
	l := New(out, Fields{"instance": "a"}, func(string, string) { counted++ })
	done := make(chan struct{})
	const lines = 10 * queueLength
	go func() {
		for range lines {
			l.Info(JobAccepted, Fields{"job": "x"})
			l.Info(JobRefused, Fields{"job": "x", "reason": "overloaded"})
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("writing events blocked for 30 s")
	}
	if counted != 2*lines {
		t.Fatalf("%d events were counted, want %d", counted, 2*lines)
	}
	close(out.release)
}

type lockedBuilder struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuilder) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func TestVolumeIsBoundedAndWhatIsLeftOutIsSaid(t *testing.T) {
	out := &lockedBuilder{}
	l := New(out, nil, nil)
	for range 3 * LinesBurst {
		l.Info(JobAccepted, Fields{"job": "x"})
		time.Sleep(time.Microsecond)
	}
	l.Info(JobRefused, Fields{"job": "y", "reason": "overloaded"})
	l.Close(10 * time.Second)
	text := out.text.String()
	if n := strings.Count(text, string(JobAccepted)); n > 2*LinesBurst {
		t.Fatalf("%d lines of one event were written, more than twice the burst", n)
	}
	if !strings.Contains(text, string(LinesLeftOut)) {
		t.Fatal("no line reports the dropped lines")
	}
	if !strings.Contains(text, string(JobRefused)) {
		t.Fatal("the line that ends a job's history was dropped")
	}
}

// Guards against a report that does not add up on a busy day: the summaries of stops and ends are
// what it adds up from where other lines are left out.
func TestSummariesAreExemptFromTheRateLimit(t *testing.T) {
	out := &lockedBuilder{}
	l := New(out, nil, nil)
	l.budget.SetBurst(0)
	l.Info("run-stopping", nil)
	l.Info("round-summary", nil)
	l.Close(10 * time.Second)
	if text := out.text.String(); !strings.Contains(text, `"round-summary"`) || strings.Contains(text, `"msg":"run-stopping"`) {
		t.Fatalf("over the limit, %q was written, want the summary only", text)
	}
}

func TestReasonsAreCounted(t *testing.T) {
	got := map[string]string{}
	l := New(io.Discard, nil, func(event, reason string) { got[event] = reason })
	l.Info(JobRefused, Fields{"reason": "log-unavailable"})
	l.Info("run-ended", Fields{"why": "failed"})
	l.Info(JobAccepted, Fields{"job": "x"})
	want := map[string]string{"job-refused": "log-unavailable", "run-ended": "failed", "job-accepted": ""}
	for event, reason := range want {
		if got[event] != reason {
			t.Errorf("%s is counted with reason %q, want %q", event, got[event], reason)
		}
	}
}

func TestALineAfterTheEndIsDropped(t *testing.T) {
	l := New(io.Discard, nil, nil)
	l.Close(time.Second)
	l.Info(JobAccepted, nil)
	l.Close(time.Second)
}
