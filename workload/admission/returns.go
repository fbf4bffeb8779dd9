package admission

import (
	"time"

	"github.com/cobalttide/cobalttide/domain"
)

const returnSlots = int(MaxRetryAfter/time.Second) + 1

// Waiting counts the callers that were sent away and have not come back yet.
type Waiting struct {
	ByClass [Classes]int
	// BySecond counts those that come back in each of the next seconds.
	BySecond [returnSlots]int
}

// Returns keeps count of the callers that were sent away, by the second in which they are to come
// back. Its size is fixed. It is not safe for concurrent use.
type Returns struct {
	base time.Time
	// second is the number of whole seconds since base up to which the slots are current.
	second int
	slots  [returnSlots][Classes]int
}

// Add records that a caller was told to come back after a delay.
func (r *Returns) Add(now time.Time, priority int, after time.Duration) {
	r.advance(now)
	r.slots[r.slot(int(domain.WholeSeconds(min(after, MaxRetryAfter))))][ClassOf(priority)]++
}

// Waiting returns the callers that are still to come back.
func (r *Returns) Waiting(now time.Time) Waiting {
	r.advance(now)
	out := Waiting{}
	for ahead := 1; ahead < returnSlots; ahead++ {
		for class, callers := range r.slots[r.slot(ahead)] {
			out.ByClass[class] += callers
			out.BySecond[ahead] += callers
		}
	}
	return out
}

func (r *Returns) slot(ahead int) int { return (r.second + ahead) % returnSlots }

// advance removes the callers whose time has come.
func (r *Returns) advance(now time.Time) {
	if r.base.IsZero() {
		r.base = now
	}
	second := int(now.Sub(r.base) / time.Second)
	for n := 0; r.second < second && n < returnSlots; n++ {
		r.second++
		r.slots[r.slot(0)] = [Classes]int{}
	}
	r.second = max(r.second, second)
}
