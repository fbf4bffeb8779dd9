package service

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cobalttide/cobalttide/workload/control"
)

// unlist removes a worker's entry from the list.
func (p *pool) unlist(id string) {
	_, err := p.log.Append(context.Background(), WorkerList, []control.Record{{Key: id}}, nil)
	if err != nil {
		p.t.Error(err)
	}
}

// Guards against a successor that waits as if a resigned planner could still give orders: the
// runs of a worker that left just before the resignation restart within one lease.
func TestRunsOfADepartedWorkerRestartWithinALeaseOfAResignation(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, 7, 40)
		defer p.stopAll()
		time.Sleep(poolWarmup)
		for i := range 20 {
			p.submit(i, p.instances[6])
		}
		time.Sleep(300 * time.Millisecond)
		p.workers.mu.Lock()
		departed := p.workers.starts[0].worker
		p.workers.fleet.Kill(departed, time.Now())
		p.workers.mu.Unlock()
		p.unlist(departed)
		resigned := time.Now()
		for _, instance := range p.planners() {
			instance.Leave()
		}
		p.awaitCompleted(p.jobs, 20*time.Second)
		bounds := p.instances[0].settings.Bounds
		if took, limit := time.Since(resigned), bounds.Lease+2*time.Second; took > limit {
			t.Errorf("all jobs completed after %v, want at most %v", took, limit)
		}
	})
}

// Guards against orders after a resignation: the successor computes the end of earlier leases
// from that record.
func TestPlannerSendsNoOrderAfterItsResignation(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, 7, 40)
		defer p.stopAll()
		time.Sleep(poolWarmup)
		for i := range 20 {
			p.submit(i, p.instances[6])
		}
		planner := p.planners()[0]
		token, _ := planner.succession.heldToken()
		late := 0
		p.workers.mu.Lock()
		p.workers.onOrder = func(order int64) {
			if control.ClaimToken(order) == token && p.log.hasResignation() {
				late++
			}
		}
		p.workers.mu.Unlock()
		p.log.setDelay(300 * time.Millisecond)
		planner.Leave()
		time.Sleep(3 * time.Second)
		p.log.setDelay(0)
		p.awaitCompleted(p.jobs, 20*time.Second)
		p.workers.mu.Lock()
		defer p.workers.mu.Unlock()
		if late > 0 {
			t.Errorf("%d orders were sent after the resignation", late)
		}
	})
}

// hasResignation reports whether the holder of the newest claim has resigned.
func (l *sharedLog) hasResignation() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := claim{}
	for _, e := range l.topic(Plans).records {
		if e.Key == claimKey {
			last = claim{}
			_ = json.Unmarshal(e.Value, &last)
		}
	}
	return last.Resigned
}

// Guards against a successor that takes orders for ended too early. The end of orders is known
// only of a planner whose claim and resignation were both read, and it is no earlier than the
// end of the previous planner's authority.
func TestOrdersEndAtAResignationOnlyAfterThePreviousPlannersAuthority(t *testing.T) {
	const authority = 6 * time.Second
	began := time.Unix(1000, 0)
	holder, other := claim{Holder: "a", Incarnation: 1}, claim{Holder: "b", Incarnation: 2}
	resigned, unnamed, laterClaim := holder, holder, holder
	resigned.Resigned, unnamed.Resigned, laterClaim.Resigned = true, true, true
	resigned.Ends, laterClaim.Ends = 1, 3
	for name, c := range map[string]struct {
		seen []claim
		at   []time.Duration
		want time.Duration
	}{
		"long after its claim":        {[]claim{holder, resigned}, []time.Duration{0, 20 * time.Second}, 20 * time.Second},
		"soon after its claim":        {[]claim{holder, resigned}, []time.Duration{0, 2 * time.Second}, authority},
		"its claim was not read":      {[]claim{resigned}, []time.Duration{20 * time.Second}, -1},
		"another's claim was read":    {[]claim{other, resigned}, []time.Duration{0, 20 * time.Second}, -1},
		"no resignation":              {[]claim{holder}, []time.Duration{0}, -1},
		"another claimed after it":    {[]claim{holder, resigned, other}, []time.Duration{0, 20 * time.Second, 21 * time.Second}, -1},
		"it ends a claim not read":    {[]claim{holder, laterClaim}, []time.Duration{0, 20 * time.Second}, -1},
		"it names no claim":           {[]claim{holder, unnamed}, []time.Duration{0, 20 * time.Second}, -1},
		"another resigned after that": {[]claim{holder, resigned, other, {Holder: "b", Incarnation: 2, Resigned: true, Ends: 3}}, []time.Duration{0, 20 * time.Second, 21 * time.Second, 40 * time.Second}, 40 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSuccession("me", 9, testPlannerTimeout, nil)
			s.authority = authority
			log := &memoryLog{}
			for i, observed := range c.seen {
				value, err := json.Marshal(observed)
				if err != nil {
					t.Fatal(err)
				}
				s.observe(Entry{Offset: int64(i), Key: claimKey, Value: value}, began.Add(c.at[i]))
				log.records = append(log.records, Entry{Offset: int64(i), Key: claimKey, Value: value})
			}
			if _, err := s.claim(t.Context(), log, int64(len(c.seen)), time.Time{}); err != nil {
				t.Fatal(err)
			}
			got := s.ordersEnded()
			if want := began.Add(c.want); (c.want < 0) != got.IsZero() || (c.want >= 0 && !got.Equal(want)) {
				t.Errorf("orders ended at %v, want %s", got, fmt.Sprint(c.want))
			}
		})
	}
}

// Guards against a wrong end of orders after a claim that was not answered: in the log it may
// follow other claims that were not read when it was sent.
func TestLateClaimDoesNotKnowWhenOrdersEnded(t *testing.T) {
	s := newSuccession("me", 9, testPlannerTimeout, nil)
	for i, observed := range []claim{{Holder: "a", Incarnation: 1}, {Holder: "a", Incarnation: 1, Resigned: true, Ends: 1}, s.self} {
		s.observe(Entry{Offset: int64(i), Key: claimKey, Value: observed.record().Value}, time.Unix(1000+int64(i), 0))
	}
	if got := s.ordersEnded(); !got.IsZero() {
		t.Errorf("orders ended at %v", got)
	}
}
