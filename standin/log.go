package standin

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/port"
)

// LogFaults configures the faults of the log service.
type LogFaults struct {
	// Down refuses every call before it has an effect.
	Down bool `json:"down"`
	// Slow delays every call.
	Slow domain.Duration `json:"slow"`
	// LoseResponses is the number of appends that take effect but return an error.
	LoseResponses int `json:"lose_answers"`
}

// ErrLogDown is returned by all calls while LogFaults.Down is set.
var ErrLogDown = errors.New("log service is down")

// Log is an append-only log in memory. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	streams map[port.Stream]*stream
	faults  LogFaults
	appends int
	records int
	// Keep limits the number of records that a stream keeps; 0 keeps all.
	Keep int
	// Wait bounds how long a read at the end of a stream waits for a record.
	Wait time.Duration
}

type stream struct {
	oldest  int64
	entries []port.Entry
	changed chan struct{}
}

// NewLog returns an empty log. Reads at the end of a stream wait up to the given time
// for a record.
func NewLog(wait time.Duration) *Log {
	return &Log{streams: map[port.Stream]*stream{}, Wait: wait}
}

// SetFaults replaces the log's faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Faults returns the current faults.
func (l *Log) Faults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Counts returns the numbers of appends and of records that took effect so far.
func (l *Log) Counts() (appends, records int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.records
}

func (l *Log) stream(name port.Stream) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) delay(ctx context.Context) error {
	faults := l.Faults()
	if faults.Slow > 0 {
		select {
		case <-time.After(faults.Slow.Std()):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if faults.Down {
		return ErrLogDown
	}
	return nil
}

// Append implements port.Log.
func (l *Log) Append(ctx context.Context, name port.Stream, records []port.Record) (int64, error) {
	if err := l.delay(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	first := s.oldest + int64(len(s.entries))
	for i, record := range records {
		s.entries = append(s.entries, port.Entry{Offset: first + int64(i), Record: record})
	}
	l.appends++
	l.records += len(records)
	s.truncate(l.Keep)
	close(s.changed)
	s.changed = make(chan struct{})
	if l.faults.LoseResponses > 0 {
		l.faults.LoseResponses--
		return 0, errors.New("connection reset")
	}
	return first, nil
}

func (s *stream) truncate(keep int) {
	if keep <= 0 || len(s.entries) <= keep {
		return
	}
	drop := len(s.entries) - keep
	s.entries = append([]port.Entry(nil), s.entries[drop:]...)
	s.oldest += int64(drop)
}

// Expire drops the oldest records of a stream so that at most keep remain.
func (l *Log) Expire(name port.Stream, keep int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	drop := max(0, len(s.entries)-keep)
	s.entries = append([]port.Entry(nil), s.entries[drop:]...)
	s.oldest += int64(drop)
}

// maxPage limits the number of entries of one page.
const maxPage = 2000

// Read implements port.Log.
func (l *Log) Read(ctx context.Context, name port.Stream, from int64) (port.Page, error) {
	if err := l.delay(ctx); err != nil {
		return port.Page{}, err
	}
	page, changed := l.page(name, from)
	if len(page.Entries) > 0 || l.Wait == 0 {
		return page, nil
	}
	select {
	case <-changed:
	case <-time.After(l.Wait):
	case <-ctx.Done():
		return port.Page{}, ctx.Err()
	}
	if l.Faults().Down {
		return port.Page{}, ErrLogDown
	}
	page, _ = l.page(name, from)
	return page, nil
}

func (l *Log) page(name port.Stream, from int64) (port.Page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	from = max(from, s.oldest)
	end := s.oldest + int64(len(s.entries))
	page := port.Page{Oldest: s.oldest, Next: min(from, end), End: end}
	if from < end {
		entries := s.entries[from-s.oldest:]
		entries = entries[:min(len(entries), maxPage)]
		page.Entries = append(page.Entries, entries...)
		page.Next = entries[len(entries)-1].Offset + 1
	}
	return page, s.changed
}
