package instance

import (
	"context"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/requests/dispatch"
)

// Request sends a call through the request pipeline. Close the answer's body.
func (in *Instance) Request(ctx context.Context, call *dispatch.Call) (*dispatch.Answer, error) {
	response, err := in.requests(ctx, call)
	if err != nil {
		return nil, err
	}
	return response.(*dispatch.Answer), nil
}

// balanceEvery is the interval at which the gate follows the fleet.
const balanceEvery = 500 * time.Millisecond

// gatePerSlot is how many requests an instance lets through for each slot of
// its share: one in work, and enough on the way to keep the slot busy.
const gatePerSlot = 1.5

// balanceLoop keeps the gate at this instance's share of the data centre's
// slots: instances don't talk about single requests, so each assumes that the
// balancer spreads them evenly.
func (in *Instance) balanceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		instances := max(1, len(in.members.present(in.Settings.DataCentre)))
		slots := in.table.Slots()
		if slots > 0 {
			in.gate.SetLimit(int(gatePerSlot*float64(slots)/float64(instances)), time.Now())
		}
		sleep(ctx, balanceEvery)
	}
}

// observeAnswer counts a whole answer.
func (in *Instance) observeAnswer(class domain.ClassName, expectation, took time.Duration) {
	inTime := "yes"
	if took > expectation {
		inTime = "no"
	}
	in.Metrics.requests.WithLabelValues(string(class), inTime).Inc()
	in.Metrics.completion.WithLabelValues(string(class)).Observe(took.Seconds())
}
