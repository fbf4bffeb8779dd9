package service

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/events"
	"github.com/cobalttide/cobalttide/telemetry"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// meter counts an instance's calls to the log and their bytes, by topic and kind of record. All
// instances share the log's bandwidth and call rate, and none is served once these are
// exhausted; the counts show which kind of use has grown.
type meter struct {
	Log
	metrics *telemetry.Metrics
	// calls records which calls the log has served.
	calls *sentAway

	mu   sync.Mutex
	uses map[Topic]*topicUse
}

// topicUse counts the use of one topic.
type topicUse struct {
	calls, failed int
	// forgotten counts the reads at offsets that the log no longer kept, newestReads the reads
	// of the newest records.
	forgotten, newestReads int
	// read and written are bytes of keys and values.
	read, written int
}

// meterInterval is how often the use is logged.
const meterInterval = 10 * time.Second

func newMeter(log Log, metrics *telemetry.Metrics, calls *sentAway) *meter {
	return &meter{Log: log, metrics: metrics, calls: calls, uses: map[Topic]*topicUse{}}
}

// keyKinds maps key prefixes to kinds of records. Other records have the name of their topic as
// their kind.
var keyKinds = []struct{ prefix, kind string }{
	{workload.AcceptedKey(""), "acceptance"},
	{workload.CancelledKey(""), "cancellation"},
	{workload.ProgressKey(""), "progress"},
	{workload.StatusKey(""), "statement"},
	{control.StatePrefix, "state"},
	{statesHeartbeatKey, "head"},
	{poolKey, "pool"},
	{planHeartbeatKey, "sign"},
	{claimKey, "claim"},
}

func recordKind(topic Topic, key string) string {
	if isAcceptTopic(topic) || topic == Plans || topic == States {
		for _, k := range keyKinds {
			if strings.HasPrefix(key, k.prefix) {
				return k.kind
			}
		}
	}
	return string(topic)
}

func (m *meter) count(topic Topic, operation telemetry.LogOperation, err error, entries []Entry) {
	bytes := 0
	for _, e := range entries {
		n := len(e.Key) + len(e.Value)
		bytes += n
		m.metrics.LogBytes(string(topic), recordKind(topic, e.Key), operation, n)
	}
	m.metrics.LogCall(string(topic), operation, err == nil)
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.uses[topic]
	if u == nil {
		u = &topicUse{}
		m.uses[topic] = u
	}
	u.calls++
	if err != nil {
		u.failed++
	}
	if errors.Is(err, ErrCompacted) {
		u.forgotten++
	}
	if operation == telemetry.LogNewest {
		u.newestReads++
	}
	if operation == telemetry.LogWrite {
		u.written += bytes
	} else {
		u.read += bytes
	}
}

// Append implements Log.
func (m *meter) Append(ctx context.Context, topic Topic, records []control.Record, writer *Writer) (int64, error) {
	sent := m.calls.clock.Now()
	offset, err := m.Log.Append(ctx, topic, records, writer)
	m.calls.recordAppend(ctx, topic, sent, err)
	entries := make([]Entry, len(records))
	for i, r := range records {
		entries[i] = Entry{Key: r.Key, Value: r.Value}
	}
	m.count(topic, telemetry.LogWrite, err, entries)
	return offset, err
}

// Read implements Log.
func (m *meter) Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Page, error) {
	sent := m.calls.clock.Now()
	page, err := m.Log.Read(ctx, topic, from, wait)
	m.calls.recordRead(ctx, sent, err)
	m.count(topic, telemetry.LogRead, err, page.Entries)
	return page, err
}

// Newest implements Log.
func (m *meter) Newest(ctx context.Context, topic Topic, after string) (NewestPage, error) {
	sent := m.calls.clock.Now()
	page, err := m.Log.Newest(ctx, topic, after)
	m.calls.recordRead(ctx, sent, err)
	m.count(topic, telemetry.LogNewest, err, page.Entries)
	return page, err
}

// logPeriodically logs the use so far every meterInterval until ctx ends.
func (m *meter) logPeriodically(ctx context.Context, log *events.Log) {
	for ctx.Err() == nil {
		sleep(ctx, meterInterval)
		log.Info(events.LogUse, m.fields())
	}
}

func (m *meter) fields() events.Fields {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := events.Fields{}
	for _, topic := range slices.Sorted(maps.Keys(m.uses)) {
		u := m.uses[topic]
		out[string(topic)] = fmt.Sprintf("calls=%d failed=%d forgotten=%d whole=%d read=%d written=%d", u.calls, u.failed, u.forgotten, u.newestReads, u.read, u.written)
	}
	return out
}
