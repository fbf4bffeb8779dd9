package service

import (
	"context"
	"sync"
	"time"
)

// pulse wakes all that wait for it at once. The nil pulse never beats.
type broadcast struct {
	mu   sync.Mutex
	next chan struct{}
}

func newBroadcast() *broadcast { return &broadcast{next: make(chan struct{})} }

func (p *broadcast) notifyAll() {
	if p == nil {
		return
	}
	p.mu.Lock()
	close(p.next)
	p.next = make(chan struct{})
	p.mu.Unlock()
}

// wait returns at the next beat, or after a time.
func (p *broadcast) wait(ctx context.Context, most time.Duration) {
	if p == nil {
		sleep(ctx, most)
		return
	}
	p.mu.Lock()
	next := p.next
	p.mu.Unlock()
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-next:
	case <-timer.C:
	}
}
