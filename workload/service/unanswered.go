package service

import (
	"sync"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

const (
	// unansweredTime is how long an append counts as possibly under way. It is several times as
	// long as the attempts of a caller that states its time.
	unansweredTime = 30 * time.Second
	// maxUnanswered limits the jobs of each unansweredTime. Beyond it all jobs count
	// as possibly under way.
	maxUnanswered = 50_000
)

// unanswered keeps the jobs whose acceptance this instance has sent to the log without knowing the
// outcome. A job is forgotten between unansweredTime and twice that after its last attempt.
type unanswered struct {
	mu            sync.Mutex
	recent, older map[workload.JobID]int
	rotatedAt     time.Time
	// recentFull and olderFull are set if attempts were left out.
	recentFull, olderFull bool
}

func newUnanswered() *unanswered {
	return &unanswered{recent: map[workload.JobID]int{}}
}

// add records that an append for a job is sent.
func (u *unanswered) add(id workload.JobID, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rotate(now)
	if len(u.recent) >= maxUnanswered {
		u.recentFull = true
		return
	}
	u.recent[id]++
}

// answered records that the outcome of an append for a job is known. Other appends for the job
// may still be under way.
func (u *unanswered) answered(id workload.JobID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, ids := range []map[workload.JobID]int{u.recent, u.older} {
		if ids[id] == 0 {
			continue
		}
		if ids[id]--; ids[id] == 0 {
			delete(ids, id)
		}
		return
	}
}

// has reports whether an append for a job may still be under way.
func (u *unanswered) has(id workload.JobID, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rotate(now)
	return u.recentFull || u.olderFull || u.recent[id] > 0 || u.older[id] > 0
}

func (u *unanswered) rotate(now time.Time) {
	switch age := now.Sub(u.rotatedAt); {
	case age >= 2*unansweredTime:
		u.recent, u.older, u.recentFull, u.olderFull = map[workload.JobID]int{}, nil, false, false
	case age >= unansweredTime:
		u.older, u.olderFull = u.recent, u.recentFull
		u.recent, u.recentFull = map[workload.JobID]int{}, false
	default:
		return
	}
	u.rotatedAt = now
}
