package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/instance"
	"github.com/cobalttide/cobalttide/state"
)

// callInstance sends a request to the callers' interface. It returns the body of the
// response, or the refusal that the instance returned.
func (f *flags) callInstance(ctx context.Context, method, path string, header http.Header, body []byte) ([]byte, error) {
	if f.address == "" {
		return nil, errors.Mark(errors.New("no instance is named; set -address or COBALTTIDE_ADDRESS"), errUsage)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+f.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	client := &http.Client{Transport: bearerTransport{f.token}}
	response, err := client.Do(request)
	if err != nil {
		refusal := domain.OutcomeUnknown(domain.ReasonOutcomeUnknown, err.Error())
		refusal.Remedy = "try another instance, with the same id"
		return nil, refusal
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, domain.OutcomeUnknown(domain.ReasonAnswerIncomplete, err.Error())
	}
	if response.StatusCode >= http.StatusBadRequest {
		var refusal domain.Refusal
		if json.Unmarshal(raw, &refusal) != nil || refusal.Reason == "" {
			return nil, errors.Newf("the instance returned status %d: %s", response.StatusCode, raw)
		}
		return nil, &refusal
	}
	return raw, nil
}

func submit(ctx context.Context, env Env, args []string) error {
	f := newFlags(env, "submit")
	id := f.String("id", "", "the job's id; repeat a submission with the same one")
	class := f.String("class", "", "a declared class of jobs")
	team := f.String("team", "", "a declared team of the account")
	dc := f.String("data-centre", "", "data centre to run in; the instance's own if empty")
	tasks := f.Int("tasks", 1, "size of the gang, 1 to 128")
	accelerators := f.Int("accelerators", 1, "accelerators of each task")
	cpu := f.Int("cpu", 1, "cores of each task")
	memory := f.Int("memory-mib", 1024, "memory of each task, in MiB")
	adjacency := f.String("adjacency", "", "same-worker, same-rack, neighbouring-racks or anywhere")
	estimate := f.Duration("estimate", time.Minute, "expected run time; need not be exact")
	payload := f.String("payload", "", "payload that is passed to every task")
	if _, err := f.parse(args); err != nil {
		return err
	}
	body, err := json.Marshal(map[string]any{
		"id": *id, "class": *class, "team": *team, "data_centre": *dc, "estimate": domain.Duration(*estimate), "payload": *payload,
		"shape": domain.Shape{
			Tasks: *tasks, PerTask: domain.Resources{Accelerators: *accelerators, CPU: *cpu, MemoryMiB: *memory},
			Adjacency: domain.Adjacency(*adjacency),
		},
	})
	if err != nil {
		return err
	}
	raw, err := f.callInstance(ctx, http.MethodPost, "/v1/jobs", nil, body)
	if err != nil {
		return err
	}
	var accepted instance.Accepted
	if err := json.Unmarshal(raw, &accepted); err != nil {
		return err
	}
	return f.print(env, accepted, [][]string{{"accepted", string(accepted.ID)}, {"durability", string(accepted.Durability)}})
}

func request(ctx context.Context, env Env, args []string) error {
	f := newFlags(env, "request")
	id := f.String("id", "", "the request's id; repeat a request with the same one")
	class := f.String("class", "", "a declared class of requests")
	body := f.String("body", "", "the request's body")
	deadline := f.Duration("deadline", 0, "how long to wait for the answer; the class's expectation if 0")
	if _, err := f.parse(args); err != nil {
		return err
	}
	header := http.Header{"Cobalttide-Request-Id": {*id}}
	if *deadline > 0 {
		header.Set("Cobalttide-Deadline", deadline.String())
	}
	raw, err := f.callInstance(ctx, http.MethodPost, "/v1/requests/"+url.PathEscape(*class), header, []byte(*body))
	if err != nil {
		return err
	}
	_, err = env.Out.Write(raw)
	return err
}

func (f *flags) jobStatus(ctx context.Context, id, query string) (state.Status, error) {
	var s state.Status
	raw, err := f.callInstance(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+query, nil, nil)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(raw, &s)
}

func statusRows(s state.Status) [][]string {
	rows := [][]string{{"job", string(s.Job.ID)}, {"state", string(s.State)}}
	if s.Cause != "" {
		rows = append(rows, []string{"cause", s.Cause})
	}
	if s.Result != "" {
		rows = append(rows, []string{"result", s.Result})
	}
	for _, a := range s.Placement {
		rows = append(rows, []string{"worker", fmt.Sprintf("%s: %d tasks", a.Worker, a.Tasks)})
	}
	return rows
}

func job(ctx context.Context, env Env, args []string) error {
	f := newFlags(env, "job")
	operands, err := f.parse(args, "JOB")
	if err != nil {
		return err
	}
	s, err := f.jobStatus(ctx, operands[0], "")
	if err != nil {
		return err
	}
	return f.print(env, s, statusRows(s))
}

// watchTimeout is how long one call of watch waits for a job's end.
const watchTimeout = 20 * time.Second

func watch(ctx context.Context, env Env, args []string) error {
	f := newFlags(env, "watch")
	operands, err := f.parse(args, "JOB")
	if err != nil {
		return err
	}
	for {
		s, err := f.jobStatus(ctx, operands[0], "?wait="+watchTimeout.String())
		if err != nil {
			return err
		}
		if !s.State.IsFinal() {
			fmt.Fprintf(env.Err, "%s is %s\n", s.Job.ID, s.State)
			continue
		}
		if err := f.print(env, s, statusRows(s)); err != nil {
			return err
		}
		if s.State != domain.JobCompleted {
			return errors.Newf("the job is %s: %s; see cobaltctl explain", s.State, s.Cause)
		}
		return nil
	}
}

func cancel(ctx context.Context, env Env, args []string) error {
	f := newFlags(env, "cancel")
	operands, err := f.parse(args, "JOB")
	if err != nil {
		return err
	}
	raw, err := f.callInstance(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(operands[0]), nil, nil)
	if err != nil {
		return err
	}
	return f.print(env, json.RawMessage(raw), [][]string{{"cancel requested", operands[0]}})
}

func explain(ctx context.Context, env Env, args []string) error {
	f := newFlags(env, "explain")
	operands, err := f.parse(args, "JOB")
	if err != nil {
		return err
	}
	raw, err := f.callInstance(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(operands[0])+"/explain", nil, nil)
	if err != nil {
		return err
	}
	var e instance.Explanation
	if err := json.Unmarshal(raw, &e); err != nil {
		return err
	}
	rows := append(statusRows(e.Status), []string{"note", e.Note})
	if e.Held != nil {
		rows = append(rows, []string{"held by", string(e.Held.Reason)}, []string{"needs", fmt.Sprintf("%d, has %d", e.Held.Need, e.Held.Have)})
	}
	return f.print(env, e, rows)
}
