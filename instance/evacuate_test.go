package instance_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"

	cobalttidev1 "github.com/cobalttide/cobalttide/api/cobalttide/v1"
	"github.com/cobalttide/cobalttide/api/cobalttide/v1/cobalttidev1connect"
	"github.com/cobalttide/cobalttide/domain"
)

// operators returns a client of the OperatorService.
func (r *runningInstance) operators() cobalttidev1connect.OperatorServiceClient {
	bearer := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			request.Header().Set("Authorization", "Bearer operator")
			return next(ctx, request)
		}
	})
	return cobalttidev1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+r.CallersAddress(), connect.WithInterceptors(bearer))
}

// hasStarted reports whether any worker has started a run of the job.
func (s *deployment) hasStarted(id domain.JobID) bool {
	for _, w := range s.platform.Workers() {
		for _, run := range w.Starts() {
			if run.Job == id {
				return true
			}
		}
	}
	return false
}

// Guards against an evacuation that only the instance that was called respects:
// whichever instance plans, no gang may start until the evacuation is undone,
// running gangs complete, and every instance shows since when it is in force.
func TestEvacuatedDataCentreStartsNothingUntilUndone(t *testing.T) {
	s := newDeployment(t, "north")
	a, b := s.start("north"), s.start("north")
	s.configure()
	ctx := context.Background()
	a.call(t, http.MethodPost, "/v1/jobs", "shop", "", gangBody("runs", 2, time.Second))
	eventually(t, "the first gang runs", func() bool { return s.hasStarted("runs") })
	if _, err := a.operators().Evacuate(ctx, &cobalttidev1.EvacuateRequest{DataCentre: "north"}); err != nil {
		t.Fatal(err)
	}
	a.call(t, http.MethodPost, "/v1/jobs", "shop", "", gangBody("waits", 2, 50*time.Millisecond))
	if status := b.wait(t, "runs", "shop"); status.State != domain.JobCompleted {
		t.Errorf("the running gang ended as %s (%s)", status.State, status.Cause)
	}
	if s.hasStarted("waits") {
		t.Error("a gang was started in the evacuated data centre")
	}
	for _, in := range []*runningInstance{a, b} {
		status, err := in.operators().Status(ctx, &cobalttidev1.StatusRequest{})
		if err != nil || status.EvacuatedMs <= 0 {
			t.Errorf("%s does not show the evacuation: %v %v", in.ID, status, err)
		}
	}
	if _, err := b.operators().Evacuate(ctx, &cobalttidev1.EvacuateRequest{DataCentre: "north", Undo: true}); err != nil {
		t.Fatal(err)
	}
	if status := a.wait(t, "waits", "shop"); status.State != domain.JobCompleted {
		t.Errorf("after the evacuation was undone the gang is %s (%s)", status.State, status.Cause)
	}
	status, err := a.operators().Status(ctx, &cobalttidev1.StatusRequest{})
	if err != nil || status.EvacuatedMs != 0 {
		t.Errorf("the data centre is still shown as evacuated: %v %v", status, err)
	}
	_, err = a.operators().Evacuate(ctx, &cobalttidev1.EvacuateRequest{DataCentre: "elsewhere"})
	if err == nil {
		t.Error("an instance accepts an order for another data centre")
	}
}
