package control

import (
	"testing"
	"time"
)

// Guards against a verdict on too little progress, on one run that may be a long task, or against a
// worker of which the other members of its steps are as slow.
func TestSpellVerdict(t *testing.T) {
	sum := func(made, expected float64, runs int) progressSum { return progressSum{made, expected, runs} }
	for _, test := range []struct {
		name                  string
		own, others, compared progressSum
		want                  bool
	}{
		{"own rate gone, others keep theirs", sum(3, 20, 1), sum(50, 50, 3), sum(0, 0, 0), true},
		{"own rate of one run gone, no others", sum(3, 20, 1), sum(0, 0, 0), sum(0, 0, 0), false},
		{"own rates of two runs gone, no others", sum(6, 40, 2), sum(0, 0, 0), sum(0, 0, 0), true},
		{"others as slow", sum(3, 20, 1), sum(10, 50, 3), sum(0, 0, 0), false},
		{"too little expected", sum(0, 4, 1), sum(50, 50, 3), sum(0, 0, 0), false},
		{"half of the window", sum(10, 20, 1), sum(50, 50, 3), sum(0, 0, 0), false},
		{"one run slower than its step", sum(0, 0, 0), sum(50, 50, 3), sum(4, 30, 1), false},
		{"two runs slower than their steps", sum(0, 0, 0), sum(50, 50, 3), sum(8, 60, 2), true},
	} {
		if got := showSlowed(test.own, test.others, test.compared); got != test.want {
			t.Errorf("%s: slowed %t", test.name, got)
		}
	}
}

// Guards against a worker that counts as slowed for ever because nothing runs there any more.
func TestSpellWithoutEvidenceExpires(t *testing.T) {
	c := New(Bounds{}, 2, time.Unix(1_000_000, 0))
	c.spells["w"] = &spell{since: c.startedAt, evidenceAt: c.startedAt}
	c.expireSpells(c.startedAt.Add(spellMemory))
	if c.SlowedWorkers() != 1 {
		t.Error("the spell ended early")
	}
	c.expireSpells(c.startedAt.Add(spellMemory + time.Second))
	if e := c.Events(); c.SlowedWorkers() != 0 || len(e) != 1 || e[0].Reason != "no-evidence" {
		t.Errorf("%d slowed workers, events %+v", c.SlowedWorkers(), e)
	}
}
