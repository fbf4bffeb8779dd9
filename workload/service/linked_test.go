package service

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/workload/control"
)

// linked is a log in memory that many instances read over links of their own.
// It is driven by the time of a synctest bubble. All answers share the store's
// rate, and those of one instance its link.
type linked struct {
	mu sync.Mutex
	// rate is what the store reads in all, in bytes a second; 0 is without bound.
	rate   float64
	busy   time.Time
	topics map[Topic]*linkedTopic
	calls  int
	bytes  int
}

type linkedTopic struct {
	// newest are the newest records of each key, in the order of their offsets;
	// a page holds what fits into pageBytes.
	newest    []Entry
	pageBytes int
	// end is where the topic ends; records from first on can be read one by one.
	first, end int64
	tail       []Entry
}

const (
	linkedPage = 1 << 20
	// linkedOverhead is what a record grows by on its way, as a factor.
	linkedOverhead = 1.4
	// linkedPatience is how long a reader waits on a link that stands still.
	linkedPatience = 500 * time.Millisecond
)

func newLinked(rate float64) *linked {
	return &linked{rate: rate, topics: map[Topic]*linkedTopic{}}
}

// fill puts n records of a size into a topic.
func (l *linked) fill(topic Topic, n, size int, key func(int) string, value []byte) {
	t := &linkedTopic{pageBytes: linkedPage, end: int64(n), first: int64(n)}
	for i := range n {
		t.newest = append(t.newest, Entry{Offset: int64(i), Key: key(i), Value: value})
	}
	l.topics[topic] = t
}

func (l *linked) topic(name Topic) *linkedTopic {
	if l.topics[name] == nil {
		l.topics[name] = &linkedTopic{pageBytes: linkedPage}
	}
	return l.topics[name]
}

// add appends one record.
func (l *linked) add(name Topic, key string, value []byte) {
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

// drop forgets what can be read one by one.
func (l *linked) drop(name Topic) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	t.first, t.tail = t.end, nil
}

// turn books the store for an answer and returns when it is read.
func (l *linked) turn(size int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	l.bytes += size
	if l.rate <= 0 {
		return time.Now()
	}
	start := time.Now()
	if l.busy.After(start) {
		start = l.busy
	}
	l.busy = start.Add(time.Duration(float64(size) / l.rate * float64(time.Second)))
	return l.busy
}

// door is one instance's way to the log.
type door struct {
	log *linked
	// rate is what the link carries now, in bytes a second; 0 is a link that
	// stands still.
	rate func() float64
	// lose tells that an answer is lost after half of it.
	lose func(n int) bool
	// line lets one answer through at a time. It is a channel, because time stands
	// still in a bubble while somebody waits for a mutex.
	line chan struct{}
	n    int
}

func newDoor(log *linked, rate func() float64) *door {
	return &door{log: log, rate: rate, line: make(chan struct{}, 1)}
}

// carry brings an answer through; it fails where the link stands still.
func (d *door) carry(ctx context.Context, size int) error {
	sleep(ctx, time.Until(d.log.turn(size)))
	d.line <- struct{}{}
	defer func() { <-d.line }()
	d.n++
	left := float64(size) * linkedOverhead
	half := left / 2
	const step = 20 * time.Millisecond
	for still := time.Duration(0); left > 0; {
		if ctx.Err() != nil {
			return errors.Mark(ctx.Err(), ErrUnknown)
		}
		rate := d.rate()
		if d.lose != nil && left <= half && d.lose(d.n) {
			rate = 0
		}
		sleep(ctx, step)
		left -= rate * step.Seconds()
		if still += step; rate > 0 {
			still = 0
		}
		if still >= linkedPatience {
			return errors.Mark(errors.New("the link stands still"), ErrUnknown)
		}
	}
	return nil
}

const emptyAnswer = 200

func (d *door) Probe(ctx context.Context, topic Topic) error {
	_, err := d.Read(ctx, topic, 0, 0)
	return err
}

func (d *door) Newest(ctx context.Context, topic Topic, after string) (NewestPage, error) {
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
	size := emptyAnswer
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
	return page, d.carry(ctx, size)
}

func (d *door) Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Page, error) {
	d.log.mu.Lock()
	t := d.log.topic(topic)
	page := Page{Next: from, End: t.end}
	if from < t.first {
		d.log.mu.Unlock()
		return Page{}, ErrForgotten
	}
	size := emptyAnswer
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
	return page, d.carry(ctx, size)
}

func (d *door) Append(context.Context, Topic, []control.Record, *Writer) (int64, error) {
	return 0, ErrNotDone
}
