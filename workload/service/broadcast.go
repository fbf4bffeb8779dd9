package service

import (
	"context"
	"sync"
	"time"
)

// broadcast wakes all waiting goroutines at once. On a nil broadcast, notifyAll does nothing
// and wait sleeps for the whole time.
type broadcast struct {
	mu   sync.Mutex
	next chan struct{}
}

func newBroadcast() *broadcast { return &broadcast{next: make(chan struct{})} }

func (b *broadcast) notifyAll() {
	if b == nil {
		return
	}
	b.mu.Lock()
	close(b.next)
	b.next = make(chan struct{})
	b.mu.Unlock()
}

// wait returns at the next notification or after limit, whichever comes first.
func (b *broadcast) wait(ctx context.Context, limit time.Duration) {
	if b == nil {
		sleep(ctx, limit)
		return
	}
	b.mu.Lock()
	next := b.next
	b.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-next:
	case <-timer.C:
	}
}
