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

// operators returns a client of the operators' interface.
func (r *running) operators() cobalttidev1connect.OperatorServiceClient {
	bearer := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			request.Header().Set("Authorization", "Bearer operator")
			return next(ctx, request)
		}
	})
	return cobalttidev1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+r.CallersAddress(), connect.WithInterceptors(bearer))
}

// started tells whether any worker has begun a gang's run.
func (s *site) started(id domain.JobID) bool {
	for _, w := range s.platform.Workers() {
		for _, run := range w.Starts() {
			if run.Job == id {
				return true
			}
		}
	}
	return false
}

// What is asked of one instance holds for whichever plans: nothing begins until the
// data centre is taken back, what runs ends, and each instance shows since when.
func TestAnEvacuatedDataCentreGetsNothingNewUntilItIsTakenBack(t *testing.T) {
	s := newSite(t, "north")
	a, b := s.start("north"), s.start("north")
	s.configure()
	ctx := context.Background()
	a.call(t, http.MethodPost, "/v1/jobs", "shop", "", gangBody("runs", 2, time.Second))
	eventually(t, "the first gang runs", func() bool { return s.started("runs") })
	if _, err := a.operators().Evacuate(ctx, &cobalttidev1.EvacuateRequest{DataCentre: "north"}); err != nil {
		t.Fatal(err)
	}
	a.call(t, http.MethodPost, "/v1/jobs", "shop", "", gangBody("waits", 2, 50*time.Millisecond))
	if status := b.wait(t, "runs", "shop"); status.State != domain.JobCompleted {
		t.Errorf("what ran there is %s (%s)", status.State, status.Cause)
	}
	if s.started("waits") {
		t.Error("a gang began in the evacuated data centre")
	}
	for _, in := range []*running{a, b} {
		status, err := in.operators().Status(ctx, &cobalttidev1.StatusRequest{})
		if err != nil || status.EvacuatedMs <= 0 {
			t.Errorf("%s does not show it: %v %v", in.ID, status, err)
		}
	}
	if _, err := b.operators().Evacuate(ctx, &cobalttidev1.EvacuateRequest{DataCentre: "north", Undo: true}); err != nil {
		t.Fatal(err)
	}
	if status := a.wait(t, "waits", "shop"); status.State != domain.JobCompleted {
		t.Errorf("after it was taken back the gang is %s (%s)", status.State, status.Cause)
	}
	status, err := a.operators().Status(ctx, &cobalttidev1.StatusRequest{})
	if err != nil || status.EvacuatedMs != 0 {
		t.Errorf("still shown as evacuated: %v %v", status, err)
	}
	_, err = a.operators().Evacuate(ctx, &cobalttidev1.EvacuateRequest{DataCentre: "elsewhere"})
	if err == nil {
		t.Error("an instance takes orders for another data centre")
	}
}
