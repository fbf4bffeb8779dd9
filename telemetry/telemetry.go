// Package telemetry holds an instance's counters and latency histograms. Labels
// are closed sets of codes; they never hold identifiers.
package telemetry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Latency is a span of work that is measured.
type Latency string

// The spans that are measured, in seconds.
const (
	// Acceptance: from a submission's arrival to its acceptance in the log.
	Acceptance Latency = "acceptance"
	// AnswerSubmit, AnswerShow, AnswerCancel, AnswerCount: from a caller's
	// request to its answer, by operation.
	AnswerSubmit Latency = "answer_submit"
	AnswerShow   Latency = "answer_show"
	AnswerCancel Latency = "answer_cancel"
	AnswerCount  Latency = "answer_count"
	// StartAnswer: from an order to its worker's answer.
	StartAnswer Latency = "start_answer"
	// AdviceAnswer: from a call for advice to its answer.
	AdviceAnswer Latency = "advice_answer"
	// LogAppend: one append to the log, through whichever way it went.
	LogAppend Latency = "log_append"
	// Round: one planning round.
	Round Latency = "round"
	// Suspension: a time for which the instance was suspended.
	Suspension Latency = "suspension"
)

// LogOperation is what is asked of the log.
type LogOperation string

// The operations on the log.
const (
	LogRead   LogOperation = "read"
	LogNewest LogOperation = "newest"
	LogWrite  LogOperation = "write"
)

// Metrics are one instance's. The zero value is not usable; call New.
type Metrics struct {
	registry  *prometheus.Registry
	events    *prometheus.CounterVec
	reasons   *prometheus.CounterVec
	latencies *prometheus.HistogramVec
	gauges    *prometheus.GaugeVec
	logCalls  *prometheus.CounterVec
	logBytes  *prometheus.CounterVec
}

// buckets reach from a millisecond to a minute.
var buckets = prometheus.ExponentialBuckets(0.001, 2.5, 13)

// New returns an empty set.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cobalttide_events_total", Help: "Decisions and changes, by event name.",
		}, []string{"event"}),
		reasons: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cobalttide_reasons_total", Help: "Refusals, retries and ends, by event and reason.",
		}, []string{"event", "reason"}),
		latencies: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cobalttide_latency_seconds", Help: "Spans of work.", Buckets: buckets,
		}, []string{"span"}),
		gauges: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cobalttide_state", Help: "What the instance believes, by quantity.",
		}, []string{"quantity"}),
		logCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cobalttide_log_calls_total", Help: "Calls to the log, by topic, operation and whether they were served.",
		}, []string{"topic", "operation", "served"}),
		logBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cobalttide_log_bytes_total", Help: "Bytes of records read and written, by topic, kind of record and operation.",
		}, []string{"topic", "kind", "operation"}),
	}
	m.registry.MustRegister(m.events, m.reasons, m.latencies, m.gauges, m.logCalls, m.logBytes)
	return m
}

// Count adds one to an event, and to its reason where it has one.
func (m *Metrics) Count(event, reason string) {
	if m == nil {
		return
	}
	m.events.WithLabelValues(event).Inc()
	if reason != "" {
		m.reasons.WithLabelValues(event, reason).Inc()
	}
}

// LogCall counts a call to the log.
func (m *Metrics) LogCall(topic string, operation LogOperation, served bool) {
	if m == nil {
		return
	}
	m.logCalls.WithLabelValues(topic, string(operation), strconv.FormatBool(served)).Inc()
}

// LogBytes counts the bytes of a record that was read or written.
func (m *Metrics) LogBytes(topic, kind string, operation LogOperation, bytes int) {
	if m == nil {
		return
	}
	m.logBytes.WithLabelValues(topic, kind, string(operation)).Add(float64(bytes))
}

// Observe records a span.
func (m *Metrics) Observe(span Latency, took time.Duration) {
	if m == nil {
		return
	}
	m.latencies.WithLabelValues(string(span)).Observe(took.Seconds())
}

// Set records a quantity that goes up and down.
func (m *Metrics) Set(quantity string, value float64) {
	if m == nil {
		return
	}
	m.gauges.WithLabelValues(quantity).Set(value)
}

// Handler serves the metrics as text.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
