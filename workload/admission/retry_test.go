package admission

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cobalttide/cobalttide/workload"
)

func drawRetry(t *rapid.T) Retry {
	r := Retry{
		Job:      workload.JobID(rapid.StringMatching("[0-9a-f]{16}").Draw(t, "job")),
		Priority: rapid.IntRange(-1, 6).Draw(t, "priority"), Remaining: time.Duration(rapid.Int64().Draw(t, "remaining")),
		Rest: time.Duration(rapid.Int64().Draw(t, "rest")), PerSecond: rapid.Float64().Draw(t, "per_second"),
	}
	for i := range r.Waiting.ByClass {
		r.Waiting.ByClass[i] = rapid.IntRange(0, 1_000_000).Draw(t, "waiting")
	}
	for i := range r.Waiting.BySecond {
		r.Waiting.BySecond[i] = rapid.IntRange(0, 1_000).Draw(t, "by_second")
	}
	return r
}

// Guards against delays that callers can't use (0, parts of a second), that exceed half of their
// remaining time, that differ between instances, or that let a later priority return first.
func TestRetryAfterKeepsItsBoundsAndTheOrderOfPriorities(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawRetry(t)
		got := RetryAfter(r)
		bound := MaxRetryAfter
		if r.Remaining > 0 {
			bound = min(bound, max(MinRetryAfter, r.Remaining/2))
		}
		if got < MinRetryAfter || got > bound || got%time.Second != 0 {
			t.Fatalf("%v for %+v, want whole seconds up to %v", got, r, bound)
		}
		if again := RetryAfter(r); again != got {
			t.Fatalf("%v and %v for the same input", got, again)
		}
		later, laterJob := r, r
		later.Priority++
		laterJob.Job = workload.JobID(rapid.StringMatching("[0-9a-f]{16}").Draw(t, "other"))
		laterJob.Priority++
		if ClassOf(later.Priority) > ClassOf(r.Priority) && (RetryAfter(later) < got || RetryAfter(laterJob) < got) {
			t.Fatalf("priority %d returns after %v, the next one sooner", r.Priority, got)
		}
	})
}

// outageLoad is a load of callers during an outage of the store.
type outageLoad struct {
	outage    time.Duration
	perSecond float64
	// arrivals is the number of new callers of each class in a second.
	arrivals [Classes]int
}

type returned struct {
	at, sent time.Duration
	class    int
}

// play sends all callers of the load away until the outage ends and returns the returns after
// its end.
func (l outageLoad) play(longest time.Duration) []returned {
	rng, start, returns := rand.New(rand.NewSource(1)), time.Unix(0, 0), &Returns{}
	const tick = 10 * time.Millisecond
	var due, out []returned
	for now := tick; now < l.outage; now += tick {
		calls := []returned{}
		for class, n := range l.arrivals {
			if rng.Float64() < float64(n)*tick.Seconds() {
				calls = append(calls, returned{class: class})
			}
		}
		kept := due[:0]
		for _, d := range due {
			if d.at <= now {
				calls = append(calls, d)
			} else {
				kept = append(kept, d)
			}
		}
		due = kept
		for _, c := range calls {
			id := workload.JobID(fmt.Sprintf("%016x", rng.Uint64()))
			at := start.Add(now)
			after := RetryAfter(Retry{Job: id, Priority: c.class, Rest: ExpectedRest(now, longest), Waiting: returns.Waiting(at), PerSecond: l.perSecond})
			returns.Add(at, c.class, after)
			due = append(due, returned{now + after, now, c.class})
		}
	}
	for _, d := range due {
		if d.at >= l.outage {
			out = append(out, d)
		}
	}
	return out
}

// Guards against callers that all return at once after an outage, or return much later than they
// could have been served. The load is that of one of 38 instances while the store is away for 7
// s, times ten.
func TestCallersReturnSpreadAfterAnOutage(t *testing.T) {
	load := outageLoad{outage: 7 * time.Second, perSecond: 12, arrivals: [Classes]int{4, 6, 8, 0}}
	for _, longest := range []time.Duration{0, 3 * time.Second} {
		back := load.play(longest)
		limit := load.outage + ExpectedRest(load.outage, longest) + time.Duration(float64(len(back))/load.perSecond+1)*time.Second
		bySecond, delays, count := map[time.Duration]int{}, [Classes]time.Duration{}, [Classes]int{}
		for _, r := range back {
			bySecond[r.at.Truncate(time.Second)]++
			if r.at > limit {
				t.Errorf("a caller of class %d returns at %v, want it by %v", r.class, r.at, limit)
			}
			if r.sent > load.outage-time.Second {
				delays[r.class] += r.at - r.sent
				count[r.class]++
			}
		}
		for second, n := range bySecond {
			if float64(n) > load.perSecond {
				t.Errorf("%d callers return in the second from %v on, %v can be served", n, second, load.perSecond)
			}
		}
		for class := 1; class < 3; class++ {
			if delays[class]*time.Duration(count[class-1]) <= delays[class-1]*time.Duration(count[class]) {
				t.Errorf("class %d returns before class %d on average", class, class-1)
			}
		}
		t.Logf("longest seen %v: %d callers return, by second %v", longest, len(back), bySecond)
	}
}

// Guards against an outage whose length is forgotten, taken from interruptions that nobody
// noticed, or counted through a time without any call.
func TestOutageIsMeasuredFromItsFirstFailedCall(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	o := Outage{MinLength: 2 * time.Second}
	o.Failed(at(0), at(1))
	o.Served(at(1.5))
	if o.Longest() != 0 {
		t.Fatalf("an interruption of 1.5 s is remembered as %v", o.Longest())
	}
	o.Failed(at(10), at(12))
	o.Failed(at(12), at(14))
	if got := o.Lasted(at(15)); got != 5*time.Second {
		t.Fatalf("lasted %v, want 5 s", got)
	}
	o.Served(at(17))
	if o.Longest() != 7*time.Second || o.Lasted(at(17)) != 0 {
		t.Fatalf("longest %v, lasted %v", o.Longest(), o.Lasted(at(17)))
	}
	o.Failed(at(20), at(20))
	o.Failed(at(60), at(61))
	if got := o.Lasted(at(62)); got != 2*time.Second {
		t.Fatalf("lasted %v after a time without calls, want 2 s", got)
	}
	if got := ExpectedRest(9*time.Second, o.Longest()); got != 7*time.Second {
		t.Fatalf("expected rest %v, want the longest outage", got)
	}
}
