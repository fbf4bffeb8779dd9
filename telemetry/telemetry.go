// Package telemetry provides the metrics of an instance. Labels are closed sets of
// codes; they contain no identifiers but the names of client accounts.
package telemetry

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Latency names a span of work whose duration is measured.
type Latency string

// Measured spans, in seconds.
const (
	// Acceptance is the time from the arrival of a submission to its acceptance in
	// the log.
	Acceptance Latency = "acceptance"
	// AnswerSubmit, AnswerShow, AnswerCancel and AnswerCount are the times from a
	// caller's request to its answer, by operation.
	AnswerSubmit Latency = "answer_submit"
	AnswerShow   Latency = "answer_show"
	AnswerCancel Latency = "answer_cancel"
	AnswerCount  Latency = "answer_count"
	// StartAnswer is the time from an order to start a run to the worker's answer.
	StartAnswer Latency = "start_answer"
	// AdviceAnswer is the time from a request for advice to its answer.
	AdviceAnswer Latency = "advice_answer"
	// LogAppend is the duration of one append to the log, by any path.
	LogAppend Latency = "log_append"
	// Round is the duration of one planning round.
	Round Latency = "round"
	// Suspension is a period for which the instance was suspended.
	Suspension Latency = "suspension"
)

// LogOperation is an operation on the log.
type LogOperation string

// Operations on the log.
const (
	LogRead   LogOperation = "read"
	LogNewest LogOperation = "newest"
	LogWrite  LogOperation = "write"
)

// Metrics are the metrics of one instance. The zero value is not usable; call New.
// All methods but Handler do nothing on a nil receiver.
type Metrics struct {
	registry  *prometheus.Registry
	events    *prometheus.CounterVec
	reasons   *prometheus.CounterVec
	latencies *prometheus.HistogramVec
	gauges    *prometheus.GaugeVec
	accounts  *prometheus.GaugeVec
	logCalls  *prometheus.CounterVec
	logBytes  *prometheus.CounterVec
}

// latencyBuckets range from a millisecond to a minute.
var latencyBuckets = prometheus.ExponentialBuckets(0.001, 2.5, 13)

// New returns metrics in a registry of their own.
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
			Name: "cobalttide_latency_seconds", Help: "Spans of work.", Buckets: latencyBuckets,
		}, []string{"span"}),
		gauges: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cobalttide_state", Help: "What the instance believes, by quantity.",
		}, []string{"quantity"}),
		accounts: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cobalttide_account", Help: "What the planner believes of a client account, by quantity.",
		}, []string{"account", "quantity"}),
		logCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cobalttide_log_calls_total", Help: "Calls to the log, by topic, operation and whether they were served.",
		}, []string{"topic", "operation", "served"}),
		logBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cobalttide_log_bytes_total", Help: "Bytes of records read and written, by topic, kind of record and operation.",
		}, []string{"topic", "kind", "operation"}),
	}
	m.registry.MustRegister(m.events, m.reasons, m.latencies, m.gauges, m.accounts, m.logCalls, m.logBytes)
	return m
}

// CountEvent counts one event, and its reason if it has one.
func (m *Metrics) CountEvent(event, reason string) {
	if m == nil {
		return
	}
	m.events.WithLabelValues(event).Inc()
	if reason != "" {
		m.reasons.WithLabelValues(event, reason).Inc()
	}
}

// LogCall counts a call to the log; served is whether it succeeded.
func (m *Metrics) LogCall(topic string, operation LogOperation, served bool) {
	if m == nil {
		return
	}
	m.logCalls.WithLabelValues(topic, string(operation), strconv.FormatBool(served)).Inc()
}

// LogBytes counts the bytes of a record that was read from or written to the log.
func (m *Metrics) LogBytes(topic, kind string, operation LogOperation, bytes int) {
	if m == nil {
		return
	}
	m.logBytes.WithLabelValues(topic, kind, string(operation)).Add(float64(bytes))
}

// Observe records the duration of a span.
func (m *Metrics) Observe(span Latency, took time.Duration) {
	if m == nil {
		return
	}
	m.latencies.WithLabelValues(string(span)).Observe(took.Seconds())
}

// SetGauge sets a gauge.
func (m *Metrics) SetGauge(quantity string, value float64) {
	if m == nil {
		return
	}
	m.gauges.WithLabelValues(quantity).Set(value)
}

// maxAccounts limits the accounts that have gauges, since each is a label value of its own.
const maxAccounts = 1000

// SetAccountGauges replaces the gauges of all client accounts. The map is from the account to its
// quantities. Only the first maxAccounts in order of their names are kept.
func (m *Metrics) SetAccountGauges(accounts map[string]map[string]float64) {
	if m == nil {
		return
	}
	m.accounts.Reset()
	names := slices.Sorted(maps.Keys(accounts))
	for _, name := range names[:min(len(names), maxAccounts)] {
		for quantity, value := range accounts[name] {
			m.accounts.WithLabelValues(name, quantity).Set(value)
		}
	}
}

// UsageGauges returns collectors of the open connections and of the memory of the requests in
// progress of a group of clients.
func UsageGauges(group string, usage func() (connections int, bytes int64)) []prometheus.Collector {
	labels := prometheus.Labels{"of": group}
	return []prometheus.Collector{
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "cobalttide_connections", Help: "Open connections.", ConstLabels: labels}, func() float64 {
			connections, _ := usage()
			return float64(connections)
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "cobalttide_request_bytes", Help: "Memory of the requests in progress.", ConstLabels: labels}, func() float64 {
			_, bytes := usage()
			return float64(bytes)
		}),
	}
}

// Register adds collectors to the metrics.
func (m *Metrics) Register(collectors ...prometheus.Collector) {
	m.registry.MustRegister(collectors...)
}

// MaxScrapes limits the concurrent requests for metrics: each holds a copy of all of them until its
// client has read it.
const MaxScrapes = 8

// Handler returns a handler that serves the metrics in Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: MaxScrapes})
}
