package control_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload/workertest"
)

// TestPrintWorld prints the story of one task of one world, for tracing a
// finding: WORLD_SEED=14 WORLD_TASK=e000000000000004.0.1 go test -run PrintWorld -v
// With WORLD_CRASHES=1 it is a world in which tasks crash their workers, with
// WORLD_CROWDED=jobs or gangs a crowded one.
func TestPrintWorld(t *testing.T) {
	var seed int64
	if _, err := fmt.Sscan(os.Getenv("WORLD_SEED"), &seed); err != nil {
		t.Skip("set WORLD_SEED and WORLD_TASK to trace a world")
	}
	task := os.Getenv("WORLD_TASK")
	w := newSimulation(seed, true)
	if os.Getenv("WORLD_CRASHES") != "" {
		w = newCrashSimulation(seed)
	}
	if kind := os.Getenv("WORLD_CROWDED"); kind != "" {
		w = newCrowdedCrashSimulation(seed, kind == "gangs")
	}
	if cell := os.Getenv("WORLD_RESTARTS"); cell != "" {
		w = newRestartSimulation(seed, cell == "faulty")
	}
	seen := w.fleet.Seen
	w.fleet.Seen = func(e workertest.Event) {
		if task == "all" || strings.HasPrefix(e.Task.String(), task) {
			t.Logf("%v %s %s run %d %q token %d", w.now.Sub(time.Unix(1_000_000, 0)), e.Worker, e.Task, e.Run, e.How, e.Token)
		}
		seen(e)
	}
	w.trace = func(format string, args ...any) {
		line := fmt.Sprintf(format, args...)
		if task == "all" || strings.Contains(line, task) || strings.Contains(line, "worker") {
			t.Logf("%v %s", w.now.Sub(time.Unix(1_000_000, 0)), line)
		}
	}
	w.run(nil)
	t.Log(w.violations)
}
