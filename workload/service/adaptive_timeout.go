package service

import (
	"sync"
	"time"
)

// AnswerTimes learns how long workers take to answer orders, so that an order
// that will have no answer is repeated soon, and one that is only slow is not.
type AnswerTimes struct {
	// Most is the longest patience; 0 is that with workers.
	Most time.Duration

	mu   sync.Mutex
	mean time.Duration
}

const (
	// answerFactor is how many times the mean an answer may take.
	timeoutFactor     = 10
	minTimeout        = 200 * time.Millisecond
	defaultMaxTimeout = 600 * time.Millisecond
	// answerWeight is the share of one more answer in the mean.
	meanWeight = 0.1
)

// Observe takes one order's time; an order without an answer counts with the
// time that it was given.
func (a *AnswerTimes) Observe(took time.Duration) {
	a.mu.Lock()
	a.mean += time.Duration(meanWeight * float64(took-a.mean))
	a.mu.Unlock()
}

// Patience is how long to wait for an answer.
func (a *AnswerTimes) Patience() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	most := a.Most
	if most == 0 {
		most = defaultMaxTimeout
	}
	return min(most, max(minTimeout, timeoutFactor*a.mean))
}
