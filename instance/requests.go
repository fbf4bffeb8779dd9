package instance

import (
	"context"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/requests/dispatch"
)

// Request sends a call through the request pipeline. The caller must close the
// answer's body.
func (in *Instance) Request(ctx context.Context, call *dispatch.Call) (*dispatch.Answer, error) {
	response, err := in.requests(ctx, call)
	if err != nil {
		return nil, err
	}
	return response.(*dispatch.Answer), nil
}

// gateUpdateInterval is the interval at which the gate's limit is updated.
const gateUpdateInterval = 500 * time.Millisecond

// requestsPerSlot is how many requests an instance admits for each slot of its
// share: one being processed, and enough in transit to keep the slot busy.
const requestsPerSlot = 1.5

// gateLoop sets the gate's limit to this instance's share of the data centre's
// slots. Instances do not coordinate single requests, so each assumes that the
// load balancer spreads them evenly.
func (in *Instance) gateLoop(ctx context.Context) {
	for ctx.Err() == nil {
		instances := max(1, len(in.members.live(in.Settings.DataCentre)))
		slots := in.routingTable.Slots()
		if slots > 0 {
			in.gate.SetLimit(int(requestsPerSlot*float64(slots)/float64(instances)), time.Now())
		}
		sleep(ctx, gateUpdateInterval)
	}
}

// observeAnswer records a complete answer in the metrics.
func (in *Instance) observeAnswer(class domain.ClassName, expectation, took time.Duration) {
	inTime := "yes"
	if took > expectation {
		inTime = "no"
	}
	in.Metrics.requests.WithLabelValues(string(class), inTime).Inc()
	in.Metrics.completion.WithLabelValues(string(class)).Observe(took.Seconds())
}
