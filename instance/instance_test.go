package instance_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/standin"
	"github.com/cobalttide/cobalttide/state"
)

func TestRequestsAndGangsEndToEndOverTCP(t *testing.T) {
	s := newDeployment(t, "north", "south")
	a, b, far := s.start("north"), s.start("north"), s.start("south")
	s.configure()
	body := `{"take": "1ms", "size": 5000, "stream": true}`
	for _, in := range s.instances {
		for _, class := range []string{"quote", "check"} {
			id := class + "-at-" + string(in.Settings.Instance)
			_, got, refusal := in.call(t, http.MethodPost, "/v1/requests/"+class, "shop", id, body)
			want := standin.ExpectedAnswer("shop", id, []byte(body))
			if !strings.HasPrefix(got, want) || len(got) != len(want)+5000 {
				t.Errorf("%s: %d bytes %+v", id, len(got), refusal)
			}
		}
	}
	if _, raw, _ := a.call(t, http.MethodPost, "/v1/jobs", "shop", "", gangBody("g1", 4, 50*time.Millisecond)); !strings.Contains(raw, `"log"`) {
		t.Fatalf("not accepted: %s", raw)
	}
	if status := b.wait(t, "g1", "shop"); status.State != domain.JobCompleted {
		t.Errorf("g1 is %s (%s)", status.State, status.Cause)
	}
	elsewhere := strings.Replace(gangBody("g2", 2, 50*time.Millisecond), `"estimate"`, `"data_centre": "south", "estimate"`, 1)
	if response, raw, _ := a.call(t, http.MethodPost, "/v1/jobs", "shop", "", elsewhere); response.StatusCode != http.StatusOK {
		t.Fatalf("not accepted for the other data centre: %s", raw)
	}
	if status := far.wait(t, "g2", "shop"); status.State != domain.JobCompleted {
		t.Errorf("g2 is %s (%s)", status.State, status.Cause)
	}
	response, raw, _ := a.call(t, http.MethodGet, "/metrics", "", "", "")
	if response.StatusCode != http.StatusOK || !strings.Contains(raw, "cobalttide_requests_total") {
		t.Errorf("/metrics answers %d, or lacks cobalttide_requests_total", response.StatusCode)
	}
}

func TestRepeatAtAnotherInstanceGetsTheFirstAnswer(t *testing.T) {
	s := newDeployment(t, "north")
	a, b := s.start("north"), s.start("north")
	s.configure()
	_, first, _ := a.call(t, http.MethodPost, "/v1/requests/check", "shop", "c1", `{"take":"1ms"}`)
	response, second, _ := b.call(t, http.MethodPost, "/v1/requests/check", "shop", "c1", `{"take":"1ms"}`)
	if first != second || response.Header.Get("Cobalttide-Repeat") != "1" {
		t.Errorf("first %q, repeat %q", first, second)
	}
	_, _, refusal := b.call(t, http.MethodPost, "/v1/requests/check", "shop", "c1", `{"take":"2ms"}`)
	if refusal.Reason != domain.ReasonIDReused {
		t.Errorf("a request with the same id and another body: %+v", refusal)
	}
	total := 0
	for _, backend := range s.platform.Backends() {
		total += backend.RunCounts()["shop/c1"]
	}
	if total != 1 {
		t.Errorf("the request ran %d times, want 1", total)
	}
}

func TestBadInputIsRefusedWithReasonFieldAndRemedy(t *testing.T) {
	s := newDeployment(t, "north")
	in := s.start("north")
	s.configure()
	in.call(t, http.MethodPost, "/v1/jobs", "shop", "", gangBody("taken", 1, time.Millisecond))
	big := strings.Repeat("x", 5000)
	cases := []struct {
		name, method, path, token, id, body string
		status                              int
		reason                              domain.Reason
		field                               string
	}{
		{"malformed JSON", "POST", "/v1/jobs", "shop", "", `{"id": `, 400, domain.ReasonInvalid, "body"},
		{"unknown field", "POST", "/v1/jobs", "shop", "", `{"ident": "x"}`, 400, domain.ReasonInvalid, "body"},
		{"unknown class of jobs", "POST", "/v1/jobs", "shop", "", strings.Replace(gangBody("x", 1, 0), `"gang"`, `"nope"`, 1), 400, domain.ReasonUnknownClass, "class"},
		{"unknown class of requests", "POST", "/v1/requests/nope", "shop", "x", "", 400, domain.ReasonUnknownClass, "class"},
		{"wrong token", "POST", "/v1/jobs", "wrong", "", gangBody("x", 1, 0), 401, domain.ReasonUnauthenticated, "Authorization"},
		{"no request id", "POST", "/v1/requests/quote", "shop", "", "", 400, domain.ReasonInvalid, "Cobalttide-Request-Id"},
		{"body over the limit", "POST", "/v1/requests/quote", "shop", "x", big, 413, domain.ReasonTooLarge, "body"},
		{"gang of zero", "POST", "/v1/jobs", "shop", "", gangBody("x", 0, 0), 400, domain.ReasonInvalid, "shape.tasks"},
		{"gang of 129", "POST", "/v1/jobs", "shop", "", gangBody("x", 129, 0), 400, domain.ReasonInvalid, "shape.tasks"},
		{"more accelerators than exist", "POST", "/v1/jobs", "shop", "", gangBody("x", 5, 0), 422, domain.ReasonNeverRunnable, "shape"},
		{"unknown team", "POST", "/v1/jobs", "school", "", gangBody("x", 1, 0), 400, domain.ReasonInvalid, "team"},
		{"id reused with another body", "POST", "/v1/jobs", "shop", "", gangBody("taken", 2, 0), 409, domain.ReasonIDReused, "id"},
		{"another account's job", "GET", "/v1/jobs/taken", "school", "", "", 404, domain.ReasonNotFound, "id"},
		{"cancel of another account's job", "DELETE", "/v1/jobs/taken", "school", "", "", 404, domain.ReasonNotFound, "id"},
		{"wait that is no duration", "GET", "/v1/jobs/taken?wait=soon", "shop", "", "", 400, domain.ReasonInvalid, "wait"},
	}
	t.Run("deadline in the past", func(t *testing.T) {
		request, err := http.NewRequest(http.MethodPost, "http://"+in.CallersAddress()+"/v1/requests/quote", strings.NewReader("{}"))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer shop")
		request.Header.Set("Cobalttide-Request-Id", "past")
		request.Header.Set("Cobalttide-Deadline", "-1s")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		var refusal domain.Refusal
		if err := json.NewDecoder(response.Body).Decode(&refusal); err != nil || refusal.Field != "Cobalttide-Deadline" || response.StatusCode != 400 {
			t.Errorf("got %d %+v %v", response.StatusCode, refusal, err)
		}
	})
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			response, raw, refusal := in.call(t, c.method, c.path, c.token, c.id, c.body)
			if response.StatusCode != c.status || refusal.Reason != c.reason || refusal.Field != c.field {
				t.Errorf("got %d %s", response.StatusCode, raw)
			}
			if refusal.Remedy == "" || refusal.Outcome != domain.NotRun {
				t.Errorf("remedy %q, outcome %q, want a remedy and not-run", refusal.Remedy, refusal.Outcome)
			}
			if strings.Contains(raw, c.token) && c.token == "wrong" {
				t.Error("the token is in the answer")
			}
		})
	}
	if status := in.wait(t, "taken", "shop"); status.State != domain.JobCompleted {
		t.Errorf("the valid job is %s", status.State)
	}
}

// Guards against incomplete or swapped answers: whatever the fault of a backend
// server, the caller gets the complete answer to its own request or none.
func TestAnswersAreWholeOrNone(t *testing.T) {
	faults := map[string]standin.BackendFaults{
		"truncated": {Truncate: true}, "swapped": {SwapID: true}, "dropped": {DropAfter: true}, "failed": {FailFast: true},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			s := newDeployment(t, "north")
			in := s.start("north")
			s.configure()
			for _, backend := range s.platform.Backends()[:2] {
				backend.SetFaults(fault)
			}
			var wg sync.WaitGroup
			for i := range 80 {
				wg.Go(func() { checkAnswer(t, in, i) })
			}
			wg.Wait()
		})
	}
}

func checkAnswer(t *testing.T, in *runningInstance, i int) {
	id := fmt.Sprint("q", i)
	class := []string{"quote", "check"}[i%2]
	body := fmt.Sprintf(`{"take": "1ms", "size": %d, "stream": %v}`, 100*i, i%3 == 0)
	request, err := http.NewRequest(http.MethodPost, "http://"+in.CallersAddress()+"/v1/requests/"+class, strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return
	}
	request.Header.Set("Authorization", "Bearer shop")
	request.Header.Set("Cobalttide-Request-Id", id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return // the connection was closed, which the caller can't mistake for an answer
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return
	}
	want := standin.ExpectedAnswer("shop", id, []byte(body))
	if !bytes.HasPrefix(raw, []byte(want)) || len(raw) != len(want)+100*i {
		t.Errorf("request %s got %d bytes that are not its complete answer", id, len(raw))
	}
}

func TestGracefulShutdownCutsOffNothing(t *testing.T) {
	s := newDeployment(t, "north")
	in := s.start("north")
	s.configure()
	const n = 24
	var wg sync.WaitGroup
	answers := make(chan string, n)
	for i := range n {
		wg.Go(func() {
			id := fmt.Sprint("q", i)
			body := fmt.Sprintf(`{"take": "400ms", "size": 200000, "stream": %v}`, i%2 == 0)
			_, raw, _ := in.call(t, http.MethodPost, "/v1/requests/quote", "shop", id, body)
			if strings.HasPrefix(raw, standin.ExpectedAnswer("shop", id, []byte(body))) && len(raw) > 200_000 {
				answers <- id
			}
		})
	}
	eventually(t, "the backend servers process at least half of the requests", func() bool {
		began := 0
		for _, backend := range s.platform.Backends() {
			began += len(backend.RunCounts())
		}
		return began >= n/2
	})
	in.stop()
	in.stop() // a second signal has no effect
	wg.Wait()
	if len(answers) != n {
		t.Errorf("%d of %d requests got their complete answer", len(answers), n)
	}
}

func TestLeavingBackendGetsNothingNew(t *testing.T) {
	s := newDeployment(t, "north")
	in := s.start("north")
	s.configure()
	leaving := s.platform.Backends()[0]
	send := func(from, to int) {
		for i := from; i < to; i++ {
			if response, raw, _ := in.call(t, http.MethodPost, "/v1/requests/check", "shop", fmt.Sprint("q", i), `{"take":"1ms"}`); response.StatusCode != http.StatusOK {
				t.Errorf("q%d: %s", i, raw)
			}
		}
	}
	send(0, 40)
	if len(leaving.RunCounts()) == 0 {
		t.Fatal("the backend server got no requests before it was leaving, so the test proves nothing")
	}
	leaving.SetFaults(standin.BackendFaults{Leaving: true})
	before := len(leaving.RunCounts())
	send(40, 120)
	if after := len(leaving.RunCounts()); after != before {
		t.Errorf("the leaving backend server got %d more requests", after-before)
	}
}

func TestJobsAcceptedWhileTheLogIsDownReachItOnce(t *testing.T) {
	s := newDeployment(t, "north")
	a, b := s.start("north"), s.start("north")
	s.configure()
	s.platform.Log.SetFaults(standin.LogFaults{Down: true})
	for i := range 5 {
		if _, raw, _ := a.call(t, http.MethodPost, "/v1/jobs", "shop", "", gangBody(fmt.Sprint("g", i), 1, 10*time.Millisecond)); !strings.Contains(raw, `"memory"`) {
			t.Fatalf("not accepted in memory: %s", raw)
		}
	}
	for i := range 5 {
		if status := b.wait(t, fmt.Sprint("g", i), "shop"); status.State != domain.JobCompleted {
			t.Errorf("g%d is %s", i, status.State)
		}
	}
	late := s.start("north")
	eventually(t, "an instance that started later has the jobs from its peers", func() bool {
		_, raw, _ := late.call(t, http.MethodGet, "/v1/jobs/g4", "shop", "", "")
		return strings.Contains(raw, `"completed"`)
	})
	// All instances that accepted or replicated the jobs crash before the log is
	// reachable; only the one that started later has copies.
	a.Kill()
	b.Kill()
	s.platform.Log.SetFaults(standin.LogFaults{})
	eventually(t, "every acceptance is in the log", func() bool { return s.acceptedCount() == 5 })
	c := s.start("north")
	eventually(t, "a new instance has the last job's end", func() bool {
		_, raw, _ := c.call(t, http.MethodGet, "/v1/jobs/g4", "shop", "", "")
		return strings.Contains(raw, `"completed"`)
	})
}

// acceptedCount returns the number of distinct acceptances in the log.
func (s *deployment) acceptedCount() int {
	page, err := s.platform.Log.Read(context.Background(), state.JobStream("north"), 0)
	if err != nil {
		return 0
	}
	ids := map[string]bool{}
	for _, e := range page.Entries {
		if e.Record.Kind == state.KindAccepted {
			ids[e.Record.ID] = true
		}
	}
	return len(ids)
}

func TestConfigurationReachesAnInstanceThatLostTheLogThroughItsPeers(t *testing.T) {
	s := newDeployment(t, "north", "south")
	a, far := s.start("north"), s.start("south")
	s.configure()
	s.platform.SetCut("south")
	changed := declarations()
	changed.Classes["late"] = domain.Class{Kind: domain.RequestClass, Expectation: domain.Duration(time.Second)}
	raw, err := json.Marshal(changed)
	if err != nil {
		t.Fatal(err)
	}
	if _, refusal := a.Apply(context.Background(), string(raw), 1, "second", "test"); refusal != nil {
		t.Fatal(refusal)
	}
	if _, refusal := a.Apply(context.Background(), string(raw), 1, "second", "test"); refusal != nil {
		t.Errorf("repeat of the change after a lost answer: %v", refusal)
	}
	eventually(t, "the cut-off instance has the new version", func() bool { return far.ConfigurationVersion() == 2 })
	_, refusal := far.Apply(context.Background(), string(raw), 0, "third", "test")
	if refusal == nil || refusal.Reason != domain.ReasonConflict {
		t.Errorf("a change to an old version: %v", refusal)
	}
}

func TestOldAndNewTokenAreBothAccepted(t *testing.T) {
	s := newDeployment(t, "north")
	in := s.start("north")
	s.configure()
	for _, token := range []string{"shop-old", "shop"} {
		if response, raw, _ := in.call(t, http.MethodPost, "/v1/requests/quote", token, "q-"+token, "{}"); response.StatusCode != http.StatusOK {
			t.Errorf("token %s: %s", token, raw)
		}
	}
}

// Guards against losing state when all instances are replaced after the log has
// dropped old records: only the snapshot and the records after it are left.
func TestStateOutlivesTheLogsRetentionAndEveryInstance(t *testing.T) {
	s := newDeployment(t, "north")
	a := s.start("north")
	s.configure()
	a.call(t, http.MethodPost, "/v1/jobs", "shop", "", gangBody("early", 1, time.Millisecond))
	if status := a.wait(t, "early", "shop"); status.State != domain.JobCompleted {
		t.Fatalf("job early is %s", status.State)
	}
	if !a.WriteSnapshots(context.Background()) {
		t.Fatal("no snapshot was written")
	}
	a.call(t, http.MethodPost, "/v1/jobs", "shop", "", gangBody("late", 1, time.Millisecond))
	a.wait(t, "late", "shop")
	a.stop()
	if err := <-a.done; err != nil {
		t.Fatal(err)
	}
	a.done <- nil
	s.platform.Log.Expire(state.ConfigurationStream, 0)
	s.platform.Log.Expire(state.JobStream("north"), 3)
	b := s.start("north")
	eventually(t, "the new instance has the configuration", func() bool { return b.ConfigurationVersion() == 1 })
	for _, id := range []string{"early", "late"} {
		if status := b.wait(t, id, "shop"); status.State != domain.JobCompleted {
			t.Errorf("job %s is %s", id, status.State)
		}
	}
}

// Guards against running a job that was refused as not-run: with the log down and
// no peer to store a copy, the job is refused and must not be kept.
func TestRefusedJobIsNotKnownAndDoesNotRun(t *testing.T) {
	s := newDeployment(t, "north")
	in := s.start("north")
	s.configure()
	s.platform.Log.SetFaults(standin.LogFaults{Down: true})
	_, raw, refusal := in.call(t, http.MethodPost, "/v1/jobs", "shop", "", gangBody("refused", 1, time.Millisecond))
	if refusal.Reason != domain.ReasonLogUnavailable {
		t.Fatalf("got %s, want a refusal because the log is unavailable", raw)
	}
	if refusal.RetryAfter <= 0 {
		t.Error("the refusal has no retry_after")
	}
	_, raw, answer := in.call(t, http.MethodGet, "/v1/jobs/refused", "shop", "", "")
	if answer.Reason != domain.ReasonNotReady {
		t.Errorf("refused as %s; without the log its status must be not ready, got %s", refusal.Outcome, raw)
	}
	s.platform.Log.SetFaults(standin.LogFaults{})
	eventually(t, "the job is not found once the log is reachable", func() bool {
		_, raw, answer = in.call(t, http.MethodGet, "/v1/jobs/refused", "shop", "", "")
		if answer.Reason != domain.ReasonNotReady && answer.Reason != domain.ReasonNotFound {
			t.Fatalf("refused as %s, but the job is known: %s", refusal.Outcome, raw)
		}
		return answer.Reason == domain.ReasonNotFound
	})
	if s.hasStarted("refused") {
		t.Error("the refused job has run")
	}
}
