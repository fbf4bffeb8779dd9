package service

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against too many instances that start to read at once after a silence, and against ones
// that never start. Whatever the number of instances, each wave at most doubles the number of
// readers, and all instances read after a few planner timeouts.
func TestActivationWavesBoundTheNumberOfReaders(t *testing.T) {
	t.Parallel()
	const standbys = 5
	for _, instances := range []int{6, 30, 147, 300, 1000} {
		now := time.Unix(1000, 0)
		reading := standbys
		for at := time.Duration(0); at < 10*testPlannerTimeout; at += standbyInterval {
			count := 0
			for rank := range instances {
				s := newStandby(standbys, testPlannerTimeout, now)
				s.setRank(rank)
				if s.shouldRead(now.Add(at)) {
					count++
				}
			}
			if count > 2*max(reading, standbys) {
				t.Fatalf("%d of %d instances read, one check after %d", count, instances, reading)
			}
			reading = count
		}
		if reading != instances {
			t.Fatalf("%d of %d instances read in the end", reading, instances)
		}
	}
}

// Guards against instances that read the plans although they are not needed, that don't read them
// although there is no sign of a planner, and that stop reading at the first such sign.
func TestInstanceThatIsNotNeededDoesNotReadPlans(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newStandby(5, testPlannerTimeout, now)
	if s.shouldRead(now.Add(activateAfter * testPlannerTimeout)) {
		t.Fatal("reads although it does not know its rank and there was no silence")
	}
	s.setRank(9)
	for range 10 {
		now = now.Add(testPlannerTimeout)
		s.resetSilence(now)
		if s.shouldRead(now.Add(testPlannerTimeout)) {
			t.Fatal("reads although there are signs of a planner")
		}
	}
	later := now.Add(4 * testPlannerTimeout)
	if !s.shouldRead(later) {
		t.Fatal("does not read although there is no sign of a planner")
	}
	s.resetSilence(later)
	if !s.shouldRead(later.Add(testPlannerTimeout)) {
		t.Fatal("stops reading at the first sign of a planner")
	}
	later = later.Add((standbyLinger + 1) * testPlannerTimeout)
	s.resetSilence(later)
	if s.shouldRead(later) {
		t.Fatal("keeps reading although it is not needed")
	}
}

// Guards against standbys that are all lost with one data centre: the most powerful instances come
// first, and among equals one of each data centre.
func TestStandbysAreSpreadOverDataCentres(t *testing.T) {
	all := map[string]member{}
	for i := range 15 {
		all[fmt.Sprintf("strong-%02d", i)] = member{EffectiveCores: 0.8, DataCentre: fmt.Sprint(i / 3)}
	}
	for i := range 100 {
		all[fmt.Sprintf("a-weak-%02d", i)] = member{EffectiveCores: 0.2, DataCentre: fmt.Sprint(i % 5)}
	}
	seen := map[string]bool{}
	for _, name := range orderCandidates(all)[:5] {
		if all[name].EffectiveCores < 0.8 {
			t.Fatalf("%s is a standby before more powerful instances", name)
		}
		seen[all[name].DataCentre] = true
	}
	if len(seen) != 5 {
		t.Fatalf("the five standbys are in %d of five data centres", len(seen))
	}
}

// Guards against two instances with the same rank: all instances that know the same members agree
// on their order.
func TestInstancesAgreeOnTheOrderOfCandidates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := map[string]member{}
		for i := range rapid.IntRange(1, 40).Draw(t, "instances") {
			all[fmt.Sprint(i)] = member{EffectiveCores: float64(rapid.IntRange(1, 3).Draw(t, "power")), DataCentre: fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "centre"))}
		}
		ranks := map[int]bool{}
		for name := range all {
			m := &members{self: name, own: all[name], others: map[string]member{}}
			for other, of := range all {
				if other != name {
					m.others[other] = of
				}
			}
			m.changed = func(_ []string, rank int) { ranks[rank] = true }
			m.notifyChanged()
		}
		if len(ranks) != len(all) {
			t.Fatalf("%d different ranks for %d instances", len(ranks), len(all))
		}
	})
}

// Guards against calls that powerful instances forward to weak ones, and the other way round. A
// powerful instance starts with the other powerful ones, a weak one with those ranked after it.
func TestCallsAreForwardedToInstancesOfSimilarPower(t *testing.T) {
	all := map[string]member{}
	for i := range 5 {
		all[fmt.Sprintf("strong-%d", i)] = member{Address: fmt.Sprintf("strong-%d", i), EffectiveCores: 0.8}
	}
	for i := range 40 {
		all[fmt.Sprintf("weak-%02d", i)] = member{Address: fmt.Sprintf("weak-%02d", i), EffectiveCores: 0.2}
	}
	peersOf := func(name string) (out []string) {
		m := &members{self: name, own: all[name], others: map[string]member{}, changed: func(others []string, _ int) { out = others }}
		for other, of := range all {
			if other != name {
				m.others[other] = of
			}
		}
		m.notifyChanged()
		return out
	}
	if first := peersOf("strong-2")[:4]; !slices.Equal(first, []string{"strong-0", "strong-1", "strong-3", "strong-4"}) {
		t.Fatalf("a powerful instance forwards to %v first", first)
	}
	if first := peersOf("weak-07")[:2]; !slices.Equal(first, []string{"weak-08", "weak-09"}) {
		t.Fatalf("a weak instance forwards to %v first", first)
	}
	if got := peersOf("weak-07"); len(got) != 44 {
		t.Fatalf("%d of 44 peers", len(got))
	}
}
