package replay

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/events"
	"github.com/cobalttide/cobalttide/workload"
)

// PatternFromLogs makes a pattern of the accepted jobs in logs. The estimates of the callers are
// taken as run times. Queues are mapped to the classes of the "steady" pattern in order of first
// appearance.
func PatternFromLogs(lines []events.Line) (*Pattern, error) {
	p, err := Load("steady")
	if err != nil {
		return nil, err
	}
	p.Name, p.Extends = "recorded", ""
	for i := range p.Classes {
		p.Classes[i].PerSecond = 0
	}
	classes, seen := map[string]string{}, map[string]bool{}
	var first, last time.Time
	for _, l := range lines {
		id := fmt.Sprint(l.Fields["job"])
		if l.Event != events.JobAccepted || seen[id] {
			continue
		}
		seen[id] = true
		var steps []workload.Step
		if json.Unmarshal([]byte(fmt.Sprint(l.Fields["shape"])), &steps) != nil || len(steps) == 0 {
			continue
		}
		if first.IsZero() {
			first = l.At
		}
		last = l.At
		queue := fmt.Sprint(l.Fields["queue"])
		if classes[queue] == "" {
			classes[queue] = p.Classes[min(len(classes), len(p.Classes)-1)].Name
		}
		p.Jobs = append(p.Jobs, RecordedJob{AtMS: l.At.Sub(first).Milliseconds(), Class: classes[queue], Account: fmt.Sprint(l.Fields["account"]), Steps: steps})
	}
	if len(p.Jobs) == 0 {
		return nil, errors.New("the logs contain no accepted job with a shape; name logs of instances that accepted jobs")
	}
	p.Seconds = last.Sub(first).Seconds() + 1
	return p, nil
}
