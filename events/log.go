// Package events writes one structured log line per decision to standard output.
// The volume is bounded, and writing never blocks a decision: lines that do not fit
// are dropped and counted by event, and the counts are written when there is space
// again.
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

// TimeFormat is the format of the time in log lines.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// Limits of the log volume.
const (
	// LinesPerSecond is the sustained rate limit.
	LinesPerSecond = 300
	// LinesBurst is the number of lines that may be written in a burst.
	LinesBurst = 1500
	// queueLength is the number of lines that may queue for a slow reader.
	queueLength = 1024
)

// Log writes events. Its methods are safe for concurrent use and never block.
type Log struct {
	logger *logrus.Logger
	lines  chan []byte
	budget *rate.Limiter
	base   logrus.Fields
	done   chan struct{}
	// count is called for every event, written or dropped.
	count func(event, reason string)

	mu      sync.Mutex
	dropped map[Name]int

	// closeMu guards closed. Lines written after Close are dropped.
	closeMu sync.RWMutex
	closed  bool
}

// New returns a log that writes to out; every line contains the fields of base.
// count, which may be nil, is called for every event with its reason, whether it is
// written or dropped.
func New(out io.Writer, base Fields, count func(event, reason string)) *Log {
	l := &Log{
		lines: make(chan []byte, queueLength), budget: rate.NewLimiter(LinesPerSecond, LinesBurst),
		base: logrus.Fields(base), done: make(chan struct{}), dropped: map[Name]int{}, count: count,
	}
	l.logger = logrus.New()
	l.logger.SetOutput(queueWriter{l})
	l.logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: TimeFormat})
	go l.writeLines(out)
	return l
}

// queueWriter queues formatted lines for the goroutine that writes them. It drops a
// line if the queue is full.
type queueWriter struct{ l *Log }

func (w queueWriter) Write(line []byte) (int, error) {
	w.l.closeMu.RLock()
	defer w.l.closeMu.RUnlock()
	if w.l.closed {
		return len(line), nil
	}
	select {
	case w.l.lines <- append([]byte(nil), line...):
	default:
	}
	return len(line), nil
}

func (l *Log) writeLines(out io.Writer) {
	for line := range l.lines {
		_, _ = out.Write(line)
	}
	close(l.done)
}

// essential events end the history of a job or of a process, or report a change that
// concerns every job. They are exempt from the rate limit, and dropped only when the
// queue is full.
var essential = map[Name]bool{
	Started: true, Stopping: true, Stopped: true, JobRefused: true, JobCancelled: true, DetailsDropped: true, ClaimTaken: true,
	"job-completed": true, "job-failed": true, "attempt-counted": true, PlannerBegins: true, PlannerEnds: true, PlannerTimings: true,
	"round-summary": true, Suspended: true, DependencyLost: true, DependencyRegained: true, ConfigurationInForce: true,
}

// essentialReserve is the part of the queue that is reserved for essential events.
const essentialReserve = queueLength / 4

// Info writes one line, or drops and counts it. It does nothing on a nil Log.
func (l *Log) Info(event Name, fields Fields) {
	if l == nil {
		return
	}
	if l.count != nil {
		l.count(string(event), reasonOf(event, fields))
	}
	full := len(l.lines) >= queueLength-1 || (!essential[event] && len(l.lines) >= queueLength-essentialReserve)
	if full || (!essential[event] && !l.budget.Allow()) {
		l.mu.Lock()
		l.dropped[event]++
		l.mu.Unlock()
		return
	}
	l.reportDropped()
	l.logger.WithFields(l.base).WithFields(logrus.Fields(fields)).Info(string(event))
}

// reportDropped writes the number of dropped lines of each event and resets the
// counts.
func (l *Log) reportDropped() {
	l.mu.Lock()
	dropped := l.dropped
	if len(dropped) > 0 {
		l.dropped = map[Name]int{}
	}
	l.mu.Unlock()
	for event, n := range dropped {
		l.logger.WithFields(l.base).WithFields(logrus.Fields{"event": event, "lines": n}).Info(string(LinesLeftOut))
	}
}

// Close writes the queued lines and stops the log. It returns after at most timeout.
func (l *Log) Close(timeout time.Duration) {
	l.closeMu.Lock()
	if !l.closed {
		l.closed = true
		close(l.lines)
	}
	l.closeMu.Unlock()
	select {
	case <-l.done:
	case <-time.After(timeout):
	}
}

// reasonFields maps events that carry a reason to the field that contains it. Reasons
// are codes of a closed set.
var reasonFields = map[Name]string{
	JobRefused: "reason", "run-ended": "why", "start-refused": "why", "run-stopping": "why", "unit-departs": "why",
	RecordUnreadable: "reason", "run-lost": "why", "unit-waits": "why", "job-completed": "why", "job-failed": "why", "worker-gone": "why", "duty-answered": "why", "end-unknown": "why",
}

func reasonOf(event Name, fields Fields) string {
	name, ok := reasonFields[event]
	if !ok {
		return ""
	}
	return fmt.Sprint(fields[name])
}
