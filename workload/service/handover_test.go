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

// unlist takes a worker's entry from the list.
func (p *pool) unlist(id string) {
	_, err := p.log.Append(context.Background(), WorkerList, []control.Record{{Key: id}}, nil)
	if err != nil {
		p.t.Error(err)
	}
}

// Guards against work that waits for leases of a planner which has resigned, as if that one might
// still give orders, where its worker has left between the two.
func TestWorkOfAWorkerThatLeftBesideAPlannerThatResignedBeginsAgainInALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, 7, 40)
		defer p.stopAll()
		time.Sleep(poolWarm)
		for i := range 20 {
			p.submit(i, p.instances[6])
		}
		time.Sleep(300 * time.Millisecond)
		p.workers.mu.Lock()
		left := p.workers.starts[0].worker
		p.workers.fleet.Kill(left, time.Now())
		p.workers.mu.Unlock()
		p.unlist(left)
		resigned := time.Now()
		for _, one := range p.planners() {
			one.Leave()
		}
		p.waitFor(p.jobs, 20*time.Second)
		bounds := p.instances[0].settings.Bounds
		if took, most := time.Since(resigned), bounds.Lease+2*time.Second; took > most {
			t.Errorf("all was done after %v, want %v at the most", took, most)
		}
	})
}

// Whoever follows counts leases from the record of a resignation.
func TestAPlannerThatResignsGivesNoOrderAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, 7, 40)
		defer p.stopAll()
		time.Sleep(poolWarm)
		for i := range 20 {
			p.submit(i, p.instances[6])
		}
		one := p.planners()[0]
		token, _ := one.succession.heldToken()
		late := 0
		p.workers.mu.Lock()
		p.workers.ordered = func(order int64) {
			if control.Claim(order) == token && p.log.resigned() {
				late++
			}
		}
		p.workers.mu.Unlock()
		p.log.setSlow(300 * time.Millisecond)
		one.Leave()
		time.Sleep(3 * time.Second)
		p.log.setSlow(0)
		p.waitFor(p.jobs, 20*time.Second)
		p.workers.mu.Lock()
		defer p.workers.mu.Unlock()
		if late > 0 {
			t.Errorf("%d orders went out after the resignation", late)
		}
	})
}

// resigned tells whether the newest claim says that its holder has left.
func (l *shared) resigned() bool {
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

// What is known of the end of orders is known of a planner that was seen to claim and to resign,
// and not before the one before it must have stopped.
func TestOrdersEndWithAResignationOnceThePlannerBeforeMustHaveStopped(t *testing.T) {
	const authority = 6 * time.Second
	began := time.Unix(1000, 0)
	holder, other := claim{Holder: "a", Incarnation: 1}, claim{Holder: "b", Incarnation: 2}
	left := holder
	left.Resigned = true
	for name, c := range map[string]struct {
		seen []claim
		at   []time.Duration
		want time.Duration
	}{
		"long after its claim":        {[]claim{holder, left}, []time.Duration{0, 20 * time.Second}, 20 * time.Second},
		"soon after its claim":        {[]claim{holder, left}, []time.Duration{0, 2 * time.Second}, authority},
		"its claim was not seen":      {[]claim{left}, []time.Duration{20 * time.Second}, -1},
		"another's claim was seen":    {[]claim{other, left}, []time.Duration{0, 20 * time.Second}, -1},
		"nobody resigned":             {[]claim{holder}, []time.Duration{0}, -1},
		"another claimed after it":    {[]claim{holder, left, other}, []time.Duration{0, 20 * time.Second, 21 * time.Second}, -1},
		"another resigned after that": {[]claim{holder, left, other, {Holder: "b", Incarnation: 2, Resigned: true}}, []time.Duration{0, 20 * time.Second, 21 * time.Second, 40 * time.Second}, 40 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSuccession("me", 9, patience, nil)
			s.authority = authority
			log := &memory{}
			for i, one := range c.seen {
				value, err := json.Marshal(one)
				if err != nil {
					t.Fatal(err)
				}
				s.observe(Entry{Offset: int64(i), Key: claimKey, Value: value}, began.Add(c.at[i]))
				log.records = append(log.records, Entry{Offset: int64(i), Key: claimKey, Value: value})
			}
			if _, err := s.claim(t.Context(), log, int64(len(c.seen))); err != nil {
				t.Fatal(err)
			}
			got := s.ordersEnded()
			if want := began.Add(c.want); (c.want < 0) != got.IsZero() || (c.want >= 0 && !got.Equal(want)) {
				t.Errorf("orders ended at %v, want %s", got, fmt.Sprint(c.want))
			}
		})
	}
}

// A claim that had no answer may stand behind others that were not read when it was made.
func TestALateClaimKnowsNothingOfTheEndOfOrders(t *testing.T) {
	s := newSuccession("me", 9, patience, nil)
	for i, one := range []claim{{Holder: "a", Incarnation: 1}, {Holder: "a", Incarnation: 1, Resigned: true}, s.self} {
		s.observe(Entry{Offset: int64(i), Key: claimKey, Value: one.record().Value}, time.Unix(1000+int64(i), 0))
	}
	if got := s.ordersEnded(); !got.IsZero() {
		t.Errorf("orders ended at %v", got)
	}
}
