package service

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/workload/control"
)

// Guards against a bound on the leases of earlier planners that one of them does not keep: planners
// of older versions and unreadable claims, also before the planner that is succeeded, and claims
// whose place in the log proves nothing.
func TestInheritedLeasesEndFollowsFromAllClaimsThatMatter(t *testing.T) {
	const horizonMS = 13_000
	began := time.Unix(1000, 0)
	horizon, old := control.LeaseTime(leaseBounds.Horizon), leaseBounds.AuthorityPeriod+control.LeaseTime(leaseBounds.Lease)
	holder := func(incarnation, horizonMS, inheritedMS int64) string {
		return string(claim{Holder: "a", Incarnation: incarnation, claimLeases: claimLeases{HorizonMS: horizonMS, InheritedMS: inheritedMS}}.record().Value)
	}
	resigned := claim{Holder: "a", Incarnation: 1, Resigned: true, Ends: 1, claimLeases: claimLeases{HorizonMS: horizonMS, InheritedMS: 20_000}}
	unnamed, later := resigned, resigned
	unnamed.Ends, later.Ends = 0, 2
	for name, c := range map[string]struct {
		seen []string
		// at is when each claim was read, reached when the topic had reached its end.
		at      []time.Duration
		reached time.Duration
		// want is when leases end; negative is unknown.
		want time.Duration
	}{
		"nobody has held the role":                  {nil, nil, time.Second, time.Second},
		"one planner":                               {[]string{holder(1, horizonMS, 0)}, []time.Duration{0}, 30 * time.Second, 30*time.Second + horizon},
		"an older version":                          {[]string{holder(1, 0, 0)}, []time.Duration{0}, 30 * time.Second, -1},
		"an older version after a newer":            {[]string{holder(1, horizonMS, 0), holder(2, 0, 0)}, []time.Duration{0, time.Second}, 30 * time.Second, -1},
		"an older version shortly before":           {[]string{holder(1, 0, 0), holder(2, horizonMS, old.Milliseconds())}, []time.Duration{0, time.Second}, 2 * time.Second, time.Second + old},
		"an older version long before":              {[]string{holder(1, 0, 0), holder(2, horizonMS, old.Milliseconds())}, []time.Duration{0, time.Second}, 30 * time.Second, 30*time.Second + horizon},
		"an older version whose claim was not read": {[]string{holder(2, horizonMS, old.Milliseconds())}, []time.Duration{2 * time.Second}, 2 * time.Second, 2*time.Second + old},
		"two planners that did not write":           {[]string{holder(1, horizonMS, 0), holder(2, horizonMS, horizon.Milliseconds()), holder(3, horizonMS, horizon.Milliseconds())}, []time.Duration{0, 2 * time.Second, 4 * time.Second}, 4 * time.Second, 4*time.Second + horizon},
		"a longer horizon before":                   {[]string{holder(2, horizonMS, 20_000)}, []time.Duration{2 * time.Second}, 3 * time.Second, 22 * time.Second},
		"an unreadable claim":                       {[]string{holder(1, horizonMS, 0), "{"}, []time.Duration{0, time.Second}, 30 * time.Second, -1},
		"a claim after an unreadable one":           {[]string{"{", holder(2, horizonMS, 20_000)}, []time.Duration{0, time.Second}, 3 * time.Second, 21 * time.Second},
		"a resignation":                             {[]string{holder(1, horizonMS, 20_000), string(resigned.record().Value)}, []time.Duration{0, 30 * time.Second}, 30 * time.Second, 30*time.Second + horizon},
		"a resignation whose claim was not read":    {[]string{string(resigned.record().Value)}, []time.Duration{30 * time.Second}, 30 * time.Second, 50 * time.Second},
		"a resignation that names no claim":         {[]string{holder(1, horizonMS, 0), string(unnamed.record().Value)}, []time.Duration{0, 30 * time.Second}, 30 * time.Second, 50 * time.Second},
		"a resignation of a later claim":            {[]string{holder(1, horizonMS, 0), string(later.record().Value)}, []time.Duration{0, 30 * time.Second}, 30 * time.Second, 50 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSuccession("me", 9, testPlannerTimeout, nil)
			s.leases = newInheritedLeases(leaseBounds)
			log := &memoryLog{}
			for i, value := range c.seen {
				e := Entry{Offset: int64(i), Key: claimKey, Value: []byte(value)}
				s.observe(e, began.Add(c.at[i]))
				log.records = append(log.records, e)
			}
			if _, err := s.claim(t.Context(), log, int64(len(c.seen)), began.Add(c.reached)); err != nil {
				t.Fatal(err)
			}
			got := s.inheritedLeasesEnd()
			if c.want < 0 && got.IsZero() {
				return
			}
			if want := began.Add(c.want); c.want < 0 || got.Sub(want).Abs() > 2*time.Millisecond {
				t.Errorf("leases end at %v, want %v", got.Sub(began), c.want)
			}
		})
	}
}

// Guards against short bounds under settings without a horizon, whose planners grant whole leases.
func TestClaimWithoutAHorizonStatesNoneAndKeepsTheOldBound(t *testing.T) {
	bounds := leaseBounds
	bounds.Horizon = 0
	s := newSuccession("me", 9, testPlannerTimeout, nil)
	s.leases = newInheritedLeases(bounds)
	if _, err := s.claim(t.Context(), &memoryLog{}, 0, time.Now()); err != nil {
		t.Fatal(err)
	}
	if s.current.claimLeases != (claimLeases{}) || !s.inheritedLeasesEnd().IsZero() {
		t.Errorf("the claim states %+v, leases end at %v", s.current.claimLeases, s.inheritedLeasesEnd())
	}
}

// Guards against the time of a repetition: a claim that was carried out without an answer gives
// authority from when it was first sent, and its place in the log still proves when leases end.
func TestRepeatedClaimCountsFromItsFirstAttempt(t *testing.T) {
	clock := time.Unix(1000, 0)
	s := newSuccession("me", 9, testPlannerTimeout, func() time.Time { return clock })
	s.leases = newInheritedLeases(leaseBounds)
	log := &memoryLog{}
	reached := clock
	record, first := s.beginClaim(0, reached, clock)
	if _, err := log.Append(t.Context(), Plans, []control.Record{record}, &Writer{Epoch: 1, Seq: s.firstSeq(), ExpectedEnd: 0}); err != nil || !first {
		t.Fatal(err, first)
	}
	clock = clock.Add(3 * time.Second)
	s.observe(Entry{Offset: 0, Key: claimKey, Value: record.Value}, clock)
	if got := s.inheritedLeasesEnd(); !got.Equal(reached) {
		t.Errorf("leases end at %v, want %v", got, reached)
	}
	if !s.claimSent().IsZero() {
		t.Error("an unanswered claim gives authority")
	}
	s.recordClaimSent(0)
	if got := s.claimSent(); !got.Equal(reached) {
		t.Errorf("the claim gives authority from %v, want its first attempt at %v", got, reached)
	}
}

// Guards against authority that is lost, or given too late, because a claim that the log refused
// counts as a first attempt.
func TestRefusedClaimIsNotAnAttempt(t *testing.T) {
	clock := time.Unix(1000, 0)
	s := newSuccession("me", 9, testPlannerTimeout, func() time.Time { return clock })
	if _, err := s.claim(t.Context(), &logLink{}, 0, clock); !errors.Is(err, ErrNotDone) {
		t.Fatal(err)
	}
	clock = clock.Add(3 * time.Second)
	if _, err := s.claim(t.Context(), &memoryLog{}, 0, clock); err != nil {
		t.Fatal(err)
	}
	if got := s.claimSent(); !got.Equal(clock) {
		t.Errorf("the claim gives authority from %v, want %v", got, clock)
	}
}

// Guards against a short wait for leases by the record of a planner that does not keep its rule, or
// that was not the last one, and against a reading of another planner's clock.
func TestSilentWorkersAreTakenOverFromTheLastPlannerOnly(t *testing.T) {
	rules := claimLeases{HorizonMS: 13_000, RecordsSilent: true}
	heartbeat := func(token, clockMS int64) Entry {
		return Entry{Key: planHeartbeatKey, Value: fmt.Appendf(nil, `{"t":%d,"c":%d}`, token, clockMS)}
	}
	held := func(c claim) Entry { return Entry{Key: claimKey, Value: c.record().Value} }
	began := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		seen    []Entry
		reached time.Time
		want    control.Predecessor
	}{
		"its heartbeats":               {[]Entry{held(claim{Holder: "a", Incarnation: 1, claimLeases: rules}), heartbeat(1, 250), heartbeat(1, 500)}, began, control.Predecessor{Token: 1, Reached: began, ClockMS: 500}},
		"heartbeats of another":        {[]Entry{held(claim{Holder: "a", Incarnation: 1, claimLeases: rules}), heartbeat(1, 250), held(claim{Holder: "b", Incarnation: 2, claimLeases: rules})}, began, control.Predecessor{Token: 3, Reached: began}},
		"an older version":             {[]Entry{held(claim{Holder: "a", Incarnation: 1}), {Key: planHeartbeatKey, Value: []byte("{}")}}, began, control.Predecessor{}},
		"the first rule only":          {[]Entry{held(claim{Holder: "a", Incarnation: 1, claimLeases: claimLeases{HorizonMS: 13_000}})}, began, control.Predecessor{}},
		"an unreadable claim":          {[]Entry{held(claim{Holder: "a", Incarnation: 1, claimLeases: rules}), {Key: claimKey, Value: []byte("{")}}, began, control.Predecessor{}},
		"resigned":                     {[]Entry{held(claim{Holder: "a", Incarnation: 1, claimLeases: rules}), held(claim{Holder: "a", Incarnation: 1, Resigned: true, Ends: 1, claimLeases: rules})}, began, control.Predecessor{Token: 1, Reached: began}},
		"resigned after a later claim": {[]Entry{held(claim{Holder: "a", Incarnation: 1, claimLeases: rules}), held(claim{Holder: "a", Incarnation: 1, Resigned: true, Ends: 4, claimLeases: rules})}, began, control.Predecessor{Reached: began}},
		"resigned, claim not read":     {[]Entry{held(claim{Holder: "a", Incarnation: 1, Resigned: true, claimLeases: rules})}, began, control.Predecessor{Reached: began}},
		"no planner":                   {nil, began, control.Predecessor{}},
		"an unknown end":               {[]Entry{held(claim{Holder: "a", Incarnation: 1, claimLeases: rules})}, time.Time{}, control.Predecessor{}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSuccession("me", 9, testPlannerTimeout, nil)
			s.leases = newInheritedLeases(leaseBounds)
			log := &memoryLog{}
			for i, e := range c.seen {
				e.Offset = int64(i)
				s.observe(e, began)
				log.records = append(log.records, e)
			}
			if _, err := s.claim(t.Context(), log, int64(len(c.seen)), c.reached); err != nil {
				t.Fatal(err)
			}
			if got := s.heldPredecessor(); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}
