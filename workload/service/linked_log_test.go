package service

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/workload/control"
)

// linkedLog is a log in memory that many instances read, each over its own link, in the time of
// a synctest bubble. All answers share the rate of the store; those to one instance also share
// its link.
type linkedLog struct {
	mu sync.Mutex
	// rate is the total read rate of the store in bytes per second; 0 is unlimited.
	rate      float64
	busyUntil time.Time
	topics    map[Topic]*linkedTopic
	calls     int
	bytes     int
}

type linkedTopic struct {
	// newest holds the newest record of each key in the order of their offsets; pageBytes
	// limits a page of them.
	newest    []Entry
	pageBytes int
	// end is the end of the topic; single records are kept from first on, in tail.
	first, end int64
	tail       []Entry
}

const (
	linkedPageBytes = 1 << 20
	// linkOverhead is the factor by which a record grows on the link.
	linkOverhead = 1.4
	// linkTimeout is how long a reader waits while its link transfers nothing.
	linkTimeout = 500 * time.Millisecond
)

func newLinkedLog(rate float64) *linkedLog {
	return &linkedLog{rate: rate, topics: map[Topic]*linkedTopic{}}
}

// fill puts n records into a topic, which are kept only as the newest of their keys.
func (l *linkedLog) fill(topic Topic, n, size int, key func(int) string, value []byte) {
	t := &linkedTopic{pageBytes: linkedPageBytes, end: int64(n), first: int64(n)}
	for i := range n {
		t.newest = append(t.newest, Entry{Offset: int64(i), Key: key(i), Value: value})
	}
	l.topics[topic] = t
}

func (l *linkedLog) topic(name Topic) *linkedTopic {
	if l.topics[name] == nil {
		l.topics[name] = &linkedTopic{pageBytes: linkedPageBytes}
	}
	return l.topics[name]
}

// add appends one record.
func (l *linkedLog) add(name Topic, key string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	e := Entry{Offset: t.end, Key: key, Value: value}
	t.tail = append(t.tail, e)
	kept := t.newest[:0:0]
	for _, old := range t.newest {
		if old.Key != key {
			kept = append(kept, old)
		}
	}
	t.newest = append(kept, e)
	t.end++
}

// dropHistory drops the single records of a topic.
func (l *linkedLog) dropHistory(name Topic) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	t.first, t.tail = t.end, nil
}

// reserve reserves the store for an answer and returns when the store has read it.
func (l *linkedLog) reserve(size int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	l.bytes += size
	if l.rate <= 0 {
		return time.Now()
	}
	start := time.Now()
	if l.busyUntil.After(start) {
		start = l.busyUntil
	}
	l.busyUntil = start.Add(time.Duration(float64(size) / l.rate * float64(time.Second)))
	return l.busyUntil
}

// logLink is one instance's link to the log.
type logLink struct {
	log *linkedLog
	// rate returns the current rate of the link in bytes per second; at 0 it transfers nothing.
	rate func() float64
	// isLost reports whether the nth answer is lost after half of it was transferred.
	isLost func(n int) bool
	// busy is held during the transfer of an answer. It is a channel, since the time of a
	// bubble stops while a goroutine waits for a mutex.
	busy    chan struct{}
	answers int
}

func newLogLink(log *linkedLog, rate func() float64) *logLink {
	return &logLink{log: log, rate: rate, busy: make(chan struct{}, 1)}
}

// transfer transfers an answer. It fails if the link transfers nothing for linkTimeout.
func (d *logLink) transfer(ctx context.Context, size int) error {
	sleep(ctx, time.Until(d.log.reserve(size)))
	d.busy <- struct{}{}
	defer func() { <-d.busy }()
	d.answers++
	remaining := float64(size) * linkOverhead
	half := remaining / 2
	const step = 20 * time.Millisecond
	for stalled := time.Duration(0); remaining > 0; {
		if ctx.Err() != nil {
			return errors.Mark(ctx.Err(), ErrOutcomeUnknown)
		}
		rate := d.rate()
		if d.isLost != nil && remaining <= half && d.isLost(d.answers) {
			rate = 0
		}
		sleep(ctx, step)
		remaining -= rate * step.Seconds()
		if stalled += step; rate > 0 {
			stalled = 0
		}
		if stalled >= linkTimeout {
			return errors.Mark(errors.New("the link transfers nothing"), ErrOutcomeUnknown)
		}
	}
	return nil
}

// emptyAnswerBytes is the size of an answer without records.
const emptyAnswerBytes = 200

func (d *logLink) Probe(ctx context.Context, topic Topic) error {
	_, err := d.Read(ctx, topic, 0, 0)
	return err
}

func (d *logLink) Newest(ctx context.Context, topic Topic, after string) (NewestPage, error) {
	d.log.mu.Lock()
	t := d.log.topic(topic)
	page := NewestPage{End: t.end, After: after}
	from := 0
	if after != "" {
		for from < len(t.newest) && t.newest[from].Key != after {
			from++
		}
		from++
	}
	size := emptyAnswerBytes
	for i := from; i < len(t.newest); i++ {
		e := t.newest[i]
		if len(page.Entries) > 0 && (size+len(e.Value) > t.pageBytes || len(page.Entries) == 500) {
			page.More = true
			break
		}
		size += len(e.Value) + len(e.Key)
		page.Entries = append(page.Entries, e)
		page.After = e.Key
	}
	d.log.mu.Unlock()
	return page, d.transfer(ctx, size)
}

func (d *logLink) Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Page, error) {
	d.log.mu.Lock()
	t := d.log.topic(topic)
	page := Page{Next: from, End: t.end}
	if from < t.first {
		d.log.mu.Unlock()
		return Page{}, ErrCompacted
	}
	size := emptyAnswerBytes
	for _, e := range t.tail {
		if e.Offset >= from {
			page.Entries = append(page.Entries, e)
			page.Next = e.Offset + 1
			size += len(e.Value)
		}
	}
	d.log.mu.Unlock()
	if len(page.Entries) == 0 {
		sleep(ctx, wait)
	}
	return page, d.transfer(ctx, size)
}

func (d *logLink) Append(context.Context, Topic, []control.Record, *Writer) (int64, error) {
	return 0, ErrNotDone
}
