package instance

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/internal/inbound"
)

// Metrics holds the metrics of an instance. Label sets are bounded: reasons and
// outcomes are closed sets, classes are declared, and no label contains an id.
type Metrics struct {
	Registry   *prometheus.Registry
	refusals   *prometheus.CounterVec
	retries    *prometheus.CounterVec
	requests   *prometheus.CounterVec
	completion *prometheus.HistogramVec
	appends    *prometheus.CounterVec
	records    prometheus.Counter
	jobs       *prometheus.CounterVec
	planning   prometheus.Gauge
	version    prometheus.Gauge
	held       prometheus.Gauge
	closed     *prometheus.CounterVec
}

func newMetrics() *Metrics {
	m := &Metrics{
		Registry:   prometheus.NewRegistry(),
		refusals:   counter("cobalttide_refusals_total", "Work refused, by reason and by what is known of it.", "reason", "outcome"),
		retries:    counter("cobalttide_retries_total", "Dispatches repeated, by the reason of the failure before.", "reason"),
		requests:   counter("cobalttide_requests_total", "Requests answered, by class and whether within its expectation.", "class", "in_time"),
		appends:    counter("cobalttide_log_appends_total", "Appends to the log, by result.", "result"),
		jobs:       counter("cobalttide_jobs_total", "Jobs accepted, by class.", "class"),
		records:    prometheus.NewCounter(prometheus.CounterOpts{Name: "cobalttide_log_records_total", Help: "Records handed to the log."}),
		planning:   gauge("cobalttide_planning", "1 while the instance plans for its data centre."),
		version:    gauge("cobalttide_configuration_version", "Version of the configuration in force."),
		held:       gauge("cobalttide_held_records", "Records held in memory until the log is back."),
		closed:     counter("cobalttide_connections_closed_total", "Connections closed at a limit, by reason.", "reason"),
		completion: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "cobalttide_completion_seconds", Help: "Time to the whole answer, by class.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 16)}, []string{"class"}),
	}
	m.Registry.MustRegister(m.refusals, m.retries, m.requests, m.appends, m.jobs, m.records, m.planning, m.version, m.held, m.completion, m.closed)
	return m
}

// countBytes registers counters of the bytes received from and sent to a kind of
// peer.
func (m *Metrics) countBytes(peer string, bytes func() (received, sent int64)) {
	add := func(direction string, value func() int64) {
		m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "cobalttide_control_bytes_total", Help: "Bytes of control traffic, by the other side.",
			ConstLabels: prometheus.Labels{"with": peer, "direction": direction},
		}, func() float64 { return float64(value()) }))
	}
	add("received", func() int64 { received, _ := bytes(); return received })
	add("sent", func() int64 { _, sent := bytes(); return sent })
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
}

func (m *Metrics) connectionClosed(reason inbound.Reason) {
	m.closed.WithLabelValues(string(reason)).Inc()
}

// Refused counts a refusal by its reason and outcome.
func (m *Metrics) Refused(r *domain.Refusal) {
	m.refusals.WithLabelValues(string(r.Reason), string(r.Outcome)).Inc()
}
