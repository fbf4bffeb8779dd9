package admission

import (
	"hash/fnv"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
)

// Classes is the number of priorities that are told apart. Lower priorities count as the last
// class.
const Classes = 4

// ClassOf returns the class of a queue's priority.
func ClassOf(priority int) int { return min(max(0, priority), Classes-1) }

const (
	// MinRetryAfter is the shortest delay that HTTP can express other than none.
	MinRetryAfter = time.Second
	// MaxRetryAfter bounds the delay of callers that do not say how long they wait. An outage
	// that has lasted for minutes may end at any moment, and capacity must not then stay unused
	// for longer than this.
	MaxRetryAfter = 30 * time.Second
)

// Retry is what the delay of a caller that is sent away depends on.
type Retry struct {
	Job      workload.JobID
	Priority int
	// Remaining is how much longer the caller waits; 0 is not stated.
	Remaining time.Duration
	// Rest is the expected time until requests can be served again.
	Rest time.Duration
	// Waiting are the callers that were sent away and have not returned yet.
	Waiting Waiting
	// PerSecond is how many callers the instance can serve in a second.
	PerSecond float64
}

// RetryAfter returns when a caller should come back, in whole seconds. Callers return from the
// expected end on, by class and no more of them in a second than can be served. Within the
// seconds of its class, a hash of the job spreads them; a second that is taken is passed over.
func RetryAfter(r Retry) time.Duration {
	limit := maxRetrySeconds(r.Remaining)
	second := min(max(1, domain.WholeSeconds(r.Rest)), limit) + r.slot()
	for second < limit && float64(r.Waiting.BySecond[second]) >= max(1, r.PerSecond) {
		second++
	}
	return time.Duration(min(second, limit)) * time.Second
}

// slot returns by how many seconds a caller returns after the expected end: those of the classes
// before it, and its own place among the callers of its class.
func (r Retry) slot() int64 {
	class := ClassOf(r.Priority)
	ahead := 0
	for _, n := range r.Waiting.ByClass[:class] {
		ahead += n
	}
	width := max(1, secondsFor(r.Waiting.ByClass[class]+1, r.PerSecond))
	return secondsFor(ahead, r.PerSecond) + int64(hashOf(r.Job)%uint32(width))
}

// maxRetrySeconds returns the longest delay of a caller: half of its remaining time, so that the
// other half is left for serving it.
func maxRetrySeconds(remaining time.Duration) int64 {
	if remaining <= 0 {
		return int64(MaxRetryAfter / time.Second)
	}
	return int64(min(max(remaining/2, MinRetryAfter), MaxRetryAfter) / time.Second)
}

// secondsFor returns the number of seconds that it takes to serve n callers, up to the largest
// delay.
func secondsFor(n int, perSecond float64) int64 {
	return domain.WholeSeconds(min(domain.ExpectedWait(n, time.Second, perSecond), MaxRetryAfter))
}

func hashOf(id workload.JobID) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return hash.Sum32()
}
