// Package events writes one structured line a decision to standard output. The
// volume is bounded, and writing never blocks a decision: lines that have no
// room are counted by event and the count is written when there is room again.
package events

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// Fields are the fields of one line.
type Fields map[string]any

// TimeFormat is how lines give the time of day.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// Bounds of the volume.
const (
	// LinesPerSecond is the budget over a longer time.
	LinesPerSecond = 300
	// LinesBurst is how many lines may come at once.
	LinesBurst = 1500
	// queueLength is how many lines wait for a slow reader.
	queueLength = 1024
)

// Log writes events. Its methods are safe for concurrent use and never block.
type Log struct {
	logger *logrus.Logger
	lines  chan []byte
	budget *rate.Limiter
	base   logrus.Fields
	done   chan struct{}
	// count is called for every event, written or not.
	count func(event, reason string)

	mu      sync.Mutex
	leftOut map[Name]int

	// closing guards closed; lines after it are dropped.
	closing sync.RWMutex
	closed  bool
}

// New returns a log that writes to out; base stands in every line. Count, which
// may be nil, is called for every event with its reason, written or left out.
func New(out io.Writer, base Fields, count func(event, reason string)) *Log {
	l := &Log{
		lines: make(chan []byte, queueLength), budget: rate.NewLimiter(LinesPerSecond, LinesBurst),
		base: logrus.Fields(base), done: make(chan struct{}), leftOut: map[Name]int{}, count: count,
	}
	l.logger = logrus.New()
	l.logger.SetOutput(writer{l})
	l.logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: TimeFormat})
	go l.drain(out)
	return l
}

// writer hands finished lines to the goroutine that writes them.
type writer struct{ l *Log }

func (w writer) Write(line []byte) (int, error) {
	w.l.closing.RLock()
	defer w.l.closing.RUnlock()
	if w.l.closed {
		return len(line), nil
	}
	select {
	case w.l.lines <- append([]byte(nil), line...):
	default:
	}
	return len(line), nil
}

func (l *Log) drain(out io.Writer) {
	for line := range l.lines {
		_, _ = out.Write(line)
	}
	close(l.done)
}

// essential events end the story of a job or of a process, and are never left
// out before others.
var essential = map[Name]bool{
	Started: true, Stopping: true, Stopped: true, JobRefused: true, JobCancelled: true, BookShed: true, ClaimTaken: true,
	"job-completed": true, "job-failed": true, PlannerBegins: true, PlannerEnds: true, PlannerTempo: true,
	Suspended: true, DependencyLost: true, DependencyRegained: true, ConfigurationInForce: true,
}

// reserve is the part of the queue that only essential events may use.
const reserve = queueLength / 4

// Info writes one line, or counts it as left out.
func (l *Log) Info(event Name, fields Fields) {
	if l == nil {
		return
	}
	if l.count != nil {
		l.count(string(event), reasonOf(event, fields))
	}
	full := len(l.lines) >= queueLength-1 || (!essential[event] && len(l.lines) >= queueLength-reserve)
	if full || (!essential[event] && !l.budget.Allow()) {
		l.mu.Lock()
		l.leftOut[event]++
		l.mu.Unlock()
		return
	}
	l.report()
	l.logger.WithFields(l.base).WithFields(logrus.Fields(fields)).Info(string(event))
}

// report writes what was left out, when there is room again.
func (l *Log) report() {
	l.mu.Lock()
	out := l.leftOut
	if len(out) > 0 {
		l.leftOut = map[Name]int{}
	}
	l.mu.Unlock()
	for event, n := range out {
		l.logger.WithFields(l.base).WithFields(logrus.Fields{"event": event, "lines": n}).Info(string(LinesLeftOut))
	}
}

// Close writes what waits, for at most the time given.
func (l *Log) Close(most time.Duration) {
	l.closing.Lock()
	if !l.closed {
		l.closed = true
		close(l.lines)
	}
	l.closing.Unlock()
	select {
	case <-l.done:
	case <-time.After(most):
	}
}

// reasoned events carry a code out of a closed set in the field that is named.
var reasoned = map[Name]string{
	JobRefused: "reason", "run-ended": "why", "start-refused": "why", "run-stopping": "why",
	RecordUnreadable: "reason", "run-lost": "why", "unit-waits": "why", "job-completed": "why", "job-failed": "why", "worker-gone": "why", "duty-answered": "why", "end-unknown": "why",
}

func reasonOf(event Name, fields Fields) string {
	name, ok := reasoned[event]
	if !ok {
		return ""
	}
	return fmt.Sprint(fields[name])
}
