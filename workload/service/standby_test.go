package service

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// However many instances there are, those that begin to read after a silence are
// at most as many again as read already, and all have begun after some patiences.
func TestThoseWhoWakeAreBoundedByWaves(t *testing.T) {
	const standbys = 5
	for _, instances := range []int{6, 30, 147, 300, 1000} {
		now := time.Unix(1000, 0)
		reading := standbys
		for at := time.Duration(0); at < 10*patience; at += standbyInterval {
			count := 0
			for place := range instances {
				s := newStandby(standbys, patience, now)
				s.setRank(place)
				if s.shouldRead(now.Add(at)) {
					count++
				}
			}
			if count > 2*max(reading, standbys) {
				t.Fatalf("%d of %d instances read, %d a moment before", count, instances, reading)
			}
			reading = count
		}
		if reading != instances {
			t.Fatalf("%d of %d instances read in the end", reading, instances)
		}
	}
}

func TestAnInstanceThatIsNotNeededReadsNothingOfThePlans(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newStandby(5, patience, now)
	if s.shouldRead(now.Add(activateAfter * patience)) {
		t.Fatal("reads before it knows its place, and before any silence")
	}
	s.setRank(9)
	for range 10 {
		now = now.Add(patience)
		s.resetSilence(now)
		if s.shouldRead(now.Add(patience)) {
			t.Fatal("reads while a planner is heard")
		}
	}
	later := now.Add(4 * patience)
	if !s.shouldRead(later) {
		t.Fatal("does not read though no planner is heard")
	}
	s.resetSilence(later)
	if !s.shouldRead(later.Add(patience)) {
		t.Fatal("stops reading at the first sign of a planner")
	}
	later = later.Add((standbyLinger + 1) * patience)
	s.resetSilence(later)
	if s.shouldRead(later) {
		t.Fatal("reads on though it is not needed")
	}
}

// Standbys are the strongest, and of equals one of each data centre first.
func TestStandbysAreSpreadOverDataCentres(t *testing.T) {
	all := map[string]member{}
	for i := range 15 {
		all[fmt.Sprintf("strong-%02d", i)] = member{Power: 0.8, DataCentre: fmt.Sprint(i / 3)}
	}
	for i := range 100 {
		all[fmt.Sprintf("a-weak-%02d", i)] = member{Power: 0.2, DataCentre: fmt.Sprint(i % 5)}
	}
	seen := map[string]bool{}
	for _, name := range orderCandidates(all)[:5] {
		if all[name].Power < 0.8 {
			t.Fatalf("%s stands by before stronger ones", name)
		}
		seen[all[name].DataCentre] = true
	}
	if len(seen) != 5 {
		t.Fatalf("five standbys are in %d of five data centres", len(seen))
	}
}

// All instances that know the same members agree on the order.
func TestInstancesAgreeOnTheOrderOfCandidates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := map[string]member{}
		for i := range rapid.IntRange(1, 40).Draw(t, "instances") {
			all[fmt.Sprint(i)] = member{Power: float64(rapid.IntRange(1, 3).Draw(t, "power")), DataCentre: fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "centre"))}
		}
		places := map[int]bool{}
		for name := range all {
			m := &members{self: name, own: all[name], others: map[string]member{}}
			for other, of := range all {
				if other != name {
					m.others[other] = of
				}
			}
			m.changed = func(_ []string, place int) { places[place] = true }
			m.notifyChanged()
		}
		if len(places) != len(all) {
			t.Fatalf("%d places for %d instances", len(places), len(all))
		}
	})
}

// A strong instance turns to strong ones, a weak one to those behind it.
func TestCallsAreHandedToInstancesOfTheSameKind(t *testing.T) {
	all := map[string]member{}
	for i := range 5 {
		all[fmt.Sprintf("strong-%d", i)] = member{Address: fmt.Sprintf("strong-%d", i), Power: 0.8}
	}
	for i := range 40 {
		all[fmt.Sprintf("weak-%02d", i)] = member{Address: fmt.Sprintf("weak-%02d", i), Power: 0.2}
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
		t.Fatalf("a strong one turns to %v", first)
	}
	if first := peersOf("weak-07")[:2]; !slices.Equal(first, []string{"weak-08", "weak-09"}) {
		t.Fatalf("a weak one turns to %v", first)
	}
	if got := peersOf("weak-07"); len(got) != 44 {
		t.Fatalf("%d peers of 44", len(got))
	}
}
