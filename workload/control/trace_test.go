package control_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload/workertest"
)

// TestPrintSimulation prints the events of one task of one simulation, to debug a violation:
// WORLD_SEED=14 WORLD_TASK=e000000000000004.0.1 go test -run PrintSimulation -v
// With WORLD_CRASHES=1 tasks crash their workers, with WORLD_CRASHES=outages racks lose power too, with WORLD_CROWDED=jobs or gangs they do so in a
// small pool. With WORLD_RESTARTS=faulty, or any other value for a simulation without faults,
// workers restart. With WORLD_FAILURES=planners planners are lost when workers crash, with WORLD_FAILURES=cuts workers are
// cut off by turns, with WORLD_FAILURES=ends failed ends are late, lost or read again.
func TestPrintSimulation(t *testing.T) {
	var seed int64
	if _, err := fmt.Sscan(os.Getenv("WORLD_SEED"), &seed); err != nil {
		t.Skip("set WORLD_SEED and WORLD_TASK to trace a simulation")
	}
	task := os.Getenv("WORLD_TASK")
	sim := newSimulation(seed, true)
	if mode := os.Getenv("WORLD_CRASHES"); mode == "outages" {
		sim = newRackOutageSimulation(seed)
	} else if mode != "" {
		sim = newCrashSimulation(seed)
	}
	if kind := os.Getenv("WORLD_CROWDED"); kind != "" {
		sim = newCrowdedCrashSimulation(seed, kind == "gangs")
	}
	if mode := os.Getenv("WORLD_RESTARTS"); mode != "" {
		sim = newRestartSimulation(seed, mode == "faulty")
	}
	switch os.Getenv("WORLD_FAILURES") {
	case "planners":
		sim = newPlannerLossSimulation(seed)
	case "cuts":
		sim = newCutOffSimulation(seed)
	case "ends":
		sim = newFailedEndSimulation(seed)
	}
	seen := sim.fleet.OnEvent
	sim.fleet.OnEvent = func(e workertest.Event) {
		if task == "all" || strings.HasPrefix(e.Task.String(), task) {
			t.Logf("%v %s %s run %d %q token %d", sim.now.Sub(time.Unix(1_000_000, 0)), e.Worker, e.Task, e.Run, e.End, e.Token)
		}
		seen(e)
	}
	sim.trace = func(format string, args ...any) {
		line := fmt.Sprintf(format, args...)
		if task == "all" || strings.Contains(line, task) || strings.Contains(line, "worker") {
			t.Logf("%v %s", sim.now.Sub(time.Unix(1_000_000, 0)), line)
		}
	}
	sim.run(nil)
	t.Log(sim.violations)
}
