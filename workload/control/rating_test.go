package control

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// Guards against rating a worker as slow because of one task that takes seven times as long as the
// others of its step. With all of that attributed to it, the worker was rated as slow for good.
func TestStragglerDoesNotRateItsWorkerAsSlow(t *testing.T) {
	c := New(Bounds{}, 1, time.Unix(1_000_000, 0))
	rates := map[int]rating{}
	for i := range 8 {
		id := fmt.Sprint("w", i)
		c.workerFor(id)
		rates[i] = rating{id, 0}
	}
	rates[0] = rating{"w0", -math.Log(7)}
	key := decide.UnitKey{Job: "j"}
	c.keepSpeeds(&job{Job: &workload.Job{ID: "j"}, rates: map[decide.UnitKey]map[int]rating{key: rates}})
	if got := c.speeds["w0"].logFactor(); got < -math.Log(maxApart)/(1+speedPrior)-1e-9 {
		t.Fatalf("after one straggler its worker is rated %.2f times as fast as others", math.Exp(got))
	}
	if got := c.speeds["w3"].factor(); got < 1 || got > 1.2 {
		t.Fatalf("beside one straggler another worker is rated %.2f times as fast as others", got)
	}
}
