package service

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/workload/control"
)

// stalledLog is a log whose appends have no answer until it is released.
type stalledLog struct {
	Log
	release chan bool
	sizes   chan int
}

func (l *stalledLog) Append(_ context.Context, _ Topic, records []control.Record, _ *Writer) (int64, error) {
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
	}
	l.sizes <- size
	<-l.release
	return 0, nil
}

func (l *stalledLog) Probe(context.Context, Topic) error { return nil }

// Guards against appends that the log refuses for their size, with the ordinary records in them,
// and against memory that grows with the records that wait for the log.
func TestLargeRecordsAreWrittenInSeveralAppendsAndBounded(t *testing.T) {
	log := &stalledLog{release: make(chan bool), sizes: make(chan int, 1000)}
	c := newCommitter(log, AcceptTopic(0), AcceptTopic(1))
	c.timeout.Max = time.Hour
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const count, size = 200, 200 << 10
	results := make(chan error, count)
	for n := range count {
		record := control.Record{Key: fmt.Sprintf("j/%d", n), Value: bytes.Repeat([]byte("x"), size)}
		go func() { results <- c.add(ctx, record) }()
	}
	refused := 0
	for range count - maxPendingBytes/size {
		if err := <-results; !errors.Is(err, ErrNotDone) {
			t.Fatalf("a record beyond the limit: %v", err)
		}
		refused++
	}
	go c.run(ctx)
	close(log.release)
	for range count - refused {
		if err := <-results; err != nil {
			t.Fatal(err)
		}
	}
	if left := c.pendingBytes.Load(); left != 0 {
		t.Errorf("%d bytes are still charged", left)
	}
	close(log.sizes)
	for size := range log.sizes {
		if size > maxBatchBytes {
			t.Errorf("an append of %d bytes, want at most %d", size, maxBatchBytes)
		}
	}
}
