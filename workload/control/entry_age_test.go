package control

import (
	"testing"
	"time"
)

// Guards against taking an entry for newer than it is. The time before which a worker can't have
// written its entry is never later than the time at which it wrote it, whatever the rate of its
// clock and the delay of its answers.
func TestEntryIsNeverTakenForNewerThanItIs(t *testing.T) {
	start := time.Unix(5000, 0)
	for _, rate := range []float64{1 - clockDrift, 0.99, 1} {
		clock := func(at time.Duration) int64 { return 100_000 + int64(rate*float64(at.Milliseconds())) }
		for _, delay := range []time.Duration{0, 20 * time.Millisecond, time.Second} {
			for writtenAt := time.Duration(0); writtenAt < 20*time.Second; writtenAt += 700 * time.Millisecond {
				w := newWorker("w", 1)
				for sent := time.Duration(0); sent < 10*time.Second; sent += 1100 * time.Millisecond {
					w.updateClockAnchor(clock(sent+delay), start.Add(sent))
				}
				w.ClockMS = clock(writtenAt)
				at, known := w.entryWrittenAfter()
				if late := at.Sub(start.Add(writtenAt)); !known || late > time.Millisecond {
					t.Fatalf("clock rate %v, answer delay %v: an entry written at %v is taken to be %v newer", rate, delay, writtenAt, late)
				}
			}
		}
	}
}

func TestEntryOfUnknownAgeIsNoEvidenceOfDeparture(t *testing.T) {
	now := time.Unix(5000, 0)
	bounds := Bounds{Lease: 6 * time.Second, Heartbeat: 1500 * time.Millisecond}
	for name, c := range map[string]struct {
		change func(c *Core, w *worker)
		left   bool
	}{
		"written a second ago":             {func(*Core, *worker) {}, true},
		"written four seconds ago":         {func(_ *Core, w *worker) { w.ClockMS -= 3000 }, false},
		"the worker is not draining":       {func(_ *Core, w *worker) { w.Draining = false }, false},
		"the heartbeat is unknown":         {func(c *Core, _ *worker) { c.bounds.Heartbeat = 0 }, false},
		"the entry shows no clock":         {func(_ *Core, w *worker) { w.ClockMS = 0 }, false},
		"no lease renewal was answered":    {func(_ *Core, w *worker) { w.incarnation = newIncarnation(1, 7) }, false},
		"entry of another incarnation":     {func(_ *Core, w *worker) { w.StartMS = 8 }, false},
		"the worker may have restarted":    {func(_ *Core, w *worker) { w.endSuspected = true }, false},
		"clocks of two incarnations":       {func(_ *Core, w *worker) { w.ClockMS += 60_000 }, false},
		"the list was interrupted since":   {func(c *Core, _ *worker) { c.RecordListGap(now.Add(-500 * time.Millisecond)) }, false},
		"the list was interrupted earlier": {func(c *Core, _ *worker) { c.RecordListGap(now.Add(-5 * time.Second)) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			core := New(bounds, 1, now)
			w := core.workerFor("w")
			w.Draining, w.StartMS, w.startMS = true, 7, 7
			w.updateClockAnchor(50_000, now.Add(-2*time.Second))
			w.ClockMS = 51_000
			c.change(core, w)
			if left := core.hasLeft(w, now); left != c.left {
				t.Fatalf("taken to have left: %t", left)
			}
		})
	}
}
