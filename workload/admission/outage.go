package admission

import "time"

// Outage measures how long the store has been unavailable for one kind of call, as this
// instance sees it. It is not safe for concurrent use.
type Outage struct {
	// MinLength is the length from which on an outage is remembered. Shorter interruptions send
	// no callers away, and would make every later outage look nearly over.
	MinLength time.Duration
	// failingSince is when the first call that failed was sent, lastFailure when the last one
	// failed; zero while calls are served.
	failingSince, lastFailure time.Time
	longest                   time.Duration
}

// maxFailureGap is the time without any call after which an earlier failure says nothing about
// the present: the store may have been back meanwhile.
const maxFailureGap = 10 * time.Second

// Failed records a call that was sent at the given time and has failed now.
func (o *Outage) Failed(sent, now time.Time) {
	if o.failingSince.IsZero() || now.Sub(o.lastFailure) > maxFailureGap {
		o.failingSince = sent
	}
	o.lastFailure = now
}

// Served records a call that was served.
func (o *Outage) Served(now time.Time) {
	if o.failingSince.IsZero() {
		return
	}
	if lasted := o.Lasted(now); lasted >= o.MinLength {
		o.longest = max(o.longest, lasted)
	}
	o.failingSince = time.Time{}
}

// Lasted returns how long the current outage has lasted; 0 is none.
func (o *Outage) Lasted(now time.Time) time.Duration {
	if o.failingSince.IsZero() || now.Sub(o.lastFailure) > maxFailureGap {
		return 0
	}
	return now.Sub(o.failingSince)
}

// Longest returns the length of the longest outage that has ended; 0 is none.
func (o *Outage) Longest() time.Duration { return o.longest }

// ExpectedRest returns the expected rest of an outage. Without knowledge of its cause, an
// outage is expected to last as long again as it has lasted, but no longer than the longest one
// seen so far.
func ExpectedRest(lasted, longest time.Duration) time.Duration {
	if longest > 0 {
		return min(lasted, longest)
	}
	return lasted
}
