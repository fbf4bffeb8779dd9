package control

import (
	"testing"
	"time"
)

// The time before which a worker can't have written its entry is never later than the time at which
// it wrote it, whatever its clock's rate and whenever its answers came.
func TestAnEntryIsNeverTakenForNewerThanItIs(t *testing.T) {
	began := time.Unix(5000, 0)
	for _, rate := range []float64{1 - clockDrift, 0.99, 1} {
		clock := func(at time.Duration) int64 { return 100_000 + int64(rate*float64(at.Milliseconds())) }
		for _, way := range []time.Duration{0, 20 * time.Millisecond, time.Second} {
			for writes := time.Duration(0); writes < 20*time.Second; writes += 700 * time.Millisecond {
				w := newWorker("w", 1)
				for sent := time.Duration(0); sent < 10*time.Second; sent += 1100 * time.Millisecond {
					w.updateClockAnchor(clock(sent+way), began.Add(sent))
				}
				w.ClockMS = clock(writes)
				at, known := w.entryWrittenAfter()
				if late := at.Sub(began.Add(writes)); !known || late > time.Millisecond {
					t.Fatalf("rate %v, answers on their way for %v: an entry written at %v is taken for %v newer", rate, way, writes, late)
				}
			}
		}
	}
}

func TestAnEntryOfUnknownAgeIsNoEvidence(t *testing.T) {
	now := time.Unix(5000, 0)
	bounds := Bounds{Lease: 6 * time.Second, Heartbeat: 1500 * time.Millisecond}
	for name, c := range map[string]struct {
		change func(c *Core, w *worker)
		left   bool
	}{
		"written a second ago":             {func(*Core, *worker) {}, true},
		"written four seconds ago":         {func(_ *Core, w *worker) { w.ClockMS -= 3000 }, false},
		"it does not drain":                {func(_ *Core, w *worker) { w.Draining = false }, false},
		"no heartbeat is known":            {func(c *Core, _ *worker) { c.bounds.Heartbeat = 0 }, false},
		"the entry shows no clock":         {func(_ *Core, w *worker) { w.ClockMS = 0 }, false},
		"the worker has answered no hold":  {func(_ *Core, w *worker) { w.incarnation = newIncarnation(1, 7) }, false},
		"the entry is another life's":      {func(_ *Core, w *worker) { w.Born = 8 }, false},
		"another life may be there":        {func(_ *Core, w *worker) { w.restartSuspected = true }, false},
		"the clocks are of two lives":      {func(_ *Core, w *worker) { w.ClockMS += 60_000 }, false},
		"the list was interrupted since":   {func(c *Core, _ *worker) { c.ListInterrupted(now.Add(-500 * time.Millisecond)) }, false},
		"the list was interrupted earlier": {func(c *Core, _ *worker) { c.ListInterrupted(now.Add(-5 * time.Second)) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			core := New(bounds, 1, now)
			w := core.workerFor("w")
			w.Draining, w.Born, w.startMS = true, 7, 7
			w.updateClockAnchor(50_000, now.Add(-2*time.Second))
			w.ClockMS = 51_000
			c.change(core, w)
			if left := core.hasLeft(w, now); left != c.left {
				t.Fatalf("it is taken for one that has left: %t", left)
			}
		})
	}
}
