package instance

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/cobalttide/cobalttide/api/cobalttide/v1/cobalttidev1connect"
	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/instance/auth"
	"github.com/cobalttide/cobalttide/internal/inbound"
	"github.com/cobalttide/cobalttide/port"
	"github.com/cobalttide/cobalttide/requests/dispatch"
	"github.com/cobalttide/cobalttide/scheduler/admission"
	"github.com/cobalttide/cobalttide/telemetry"
)

// The headers of the callers' interface.
const (
	headerRequestID = "Cobalttide-Request-Id"
	// headerDeadline is how long the caller waits, as a duration. The default is
	// the class's expectation.
	headerDeadline = "Cobalttide-Deadline"
	headerRepeat   = "Cobalttide-Repeat"
)

// handler returns the HTTP handler for callers, operators, metrics and health.
func (in *Instance) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/requests/{class}", in.trackInFlight(in.serveRequest))
	mux.Handle("POST /v1/jobs", in.jobEndpoint(in.postJob))
	mux.Handle("GET /v1/jobs/{id}", in.jobEndpoint(in.getJob))
	mux.Handle("GET /v1/jobs/{id}/explain", in.jobEndpoint(in.explainJob))
	mux.Handle("DELETE /v1/jobs/{id}", in.jobEndpoint(in.deleteJob))
	path, operators := cobalttidev1connect.NewOperatorServiceHandler(&operatorService{in})
	mux.Handle(path, http.MaxBytesHandler(operators, operatorBodyBytes))
	mux.Handle("GET /metrics", promhttp.HandlerFor(in.Metrics.Registry, promhttp.HandlerOpts{MaxRequestsInFlight: telemetry.MaxScrapes}))
	mux.HandleFunc("GET /healthz", in.healthz)
	mux.HandleFunc("GET /readyz", in.readyz)
	return mux
}

// trackInFlight counts a request as in flight while next handles it, so that a
// leaving instance waits for it.
func (in *Instance) trackInFlight(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		in.inFlight.Add(1)
		defer in.inFlight.Done()
		next(w, r)
	}
}

// jobCall is a decoded call of the job API.
type jobCall struct {
	account    domain.AccountID
	id         domain.JobID
	dataCentre domain.DataCentre
	wait       time.Duration
	job        domain.Job
}

// jobEndpoint wraps a function on a job call as a go-kit HTTP server.
func (in *Instance) jobEndpoint(f func(context.Context, jobCall) (any, error)) http.Handler {
	call := func(ctx context.Context, request any) (any, error) { return f(ctx, request.(jobCall)) }
	server := kithttp.NewServer(call, in.decodeJobCall, kithttp.EncodeJSONResponse,
		kithttp.ServerErrorEncoder(in.encodeError))
	return in.trackInFlight(server.ServeHTTP)
}

func (in *Instance) decodeJobCall(_ context.Context, r *http.Request) (any, error) {
	account, refusal := in.authenticate(r)
	if refusal != nil {
		return nil, refusal
	}
	call := jobCall{account: account, id: domain.JobID(r.PathValue("id")), dataCentre: domain.DataCentre(r.URL.Query().Get("data_centre"))}
	if text := r.URL.Query().Get("wait"); text != "" {
		wait, err := time.ParseDuration(text)
		if err != nil || wait < 0 || wait > in.Settings.Limits.RequestTimeout.Std() {
			return nil, domain.Refuse(domain.ReasonInvalid, "wait", fmt.Sprintf("%q is not a duration within limits.request_timeout", text), `write such as "10s"`)
		}
		call.wait = wait
	}
	if r.Method != http.MethodPost {
		return call, nil
	}
	raw, refusal := in.readBody(r)
	if refusal != nil {
		return nil, refusal
	}
	job, refusal := DecodeJob(raw)
	call.job = job
	call.job.Account = account
	if refusal != nil {
		return nil, refusal
	}
	return call, nil
}

// DecodeJob decodes a submitted job. It rejects unknown fields.
func DecodeJob(raw []byte) (domain.Job, *domain.Refusal) {
	var body struct {
		ID         domain.JobID      `json:"id"`
		Team       domain.TeamID     `json:"team"`
		Class      domain.ClassName  `json:"class"`
		DataCentre domain.DataCentre `json:"data_centre"`
		Shape      domain.Shape      `json:"shape"`
		Estimate   domain.Duration   `json:"estimate"`
		Payload    string            `json:"payload"`
	}
	if problem := decodeStrict(raw, &body); problem != nil {
		return domain.Job{}, problem
	}
	return domain.Job{
		ID: body.ID, Team: body.Team, Class: body.Class, DataCentre: body.DataCentre,
		Shape: body.Shape, Estimate: body.Estimate, Payload: body.Payload,
	}, nil
}

func (in *Instance) readBody(r *http.Request) ([]byte, *domain.Refusal) {
	limit := in.Settings.Limits.BodyBytes
	raw, err := inbound.ReadBody(r, limit)
	switch {
	case err == nil:
		return raw, nil
	case errors.Is(err, inbound.ErrTooLarge):
		return nil, domain.Refuse(domain.ReasonTooLarge, "body", fmt.Sprintf("exceeds %d bytes", limit), "send a smaller body, or have limits.body_bytes raised")
	case errors.Is(err, inbound.ErrNoMemory):
		return nil, domain.Refuse(domain.ReasonRequestMemory, "body", "the memory for requests is in use", "come back later, or have limits.request_memory_bytes raised").WithRetryAfter(bodyRetryAfter)
	case errors.Is(err, inbound.ErrBodyTimeout):
		return nil, domain.Refuse(domain.ReasonBodyTimeout, "body", "took too long", "send it again, all at once").WithRetryAfter(bodyRetryAfter)
	}
	return nil, domain.Refuse(domain.ReasonInvalid, "body", "could not be read completely", "send it again")
}

// bodyRetryAfter is when to come back if a body could not be taken in.
const bodyRetryAfter = time.Second

func (in *Instance) authenticate(r *http.Request) (domain.AccountID, *domain.Refusal) {
	snapshot := in.configuration.Current()
	if snapshot.Version == 0 {
		return "", notConfigured()
	}
	return auth.Account(auth.Bearer(r.Header), snapshot.Declarations)
}

func (in *Instance) postJob(ctx context.Context, c jobCall) (any, error) {
	return in.Submit(ctx, c.job)
}

func (in *Instance) getJob(ctx context.Context, c jobCall) (any, error) {
	if c.wait == 0 {
		return in.Job(ctx, c.account, c.id, c.dataCentre)
	}
	waitCtx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	return in.Wait(waitCtx, c.account, c.id, c.dataCentre)
}

func (in *Instance) explainJob(ctx context.Context, c jobCall) (any, error) {
	return in.Explain(ctx, c.account, c.id)
}

func (in *Instance) deleteJob(ctx context.Context, c jobCall) (any, error) {
	return in.Cancel(ctx, c.account, c.id, c.dataCentre)
}

// httpStatus maps reasons to HTTP status codes. All others map to 503.
var httpStatus = map[domain.Reason]int{
	domain.ReasonInvalid:          http.StatusBadRequest,
	domain.ReasonUnauthenticated:  http.StatusUnauthorized,
	domain.ReasonForbidden:        http.StatusForbidden,
	domain.ReasonNotFound:         http.StatusNotFound,
	domain.ReasonUnknownClass:     http.StatusBadRequest,
	domain.ReasonIDReused:         http.StatusConflict,
	domain.ReasonTooLarge:         http.StatusRequestEntityTooLarge,
	domain.ReasonNeverRunnable:    http.StatusUnprocessableEntity,
	domain.ReasonRateLimited:      http.StatusTooManyRequests,
	domain.ReasonConflict:         http.StatusConflict,
	domain.ReasonBackendFailed:    http.StatusBadGateway,
	domain.ReasonAnswerIncomplete: http.StatusBadGateway,
	domain.ReasonOutcomeUnknown:   http.StatusBadGateway,
	domain.ReasonDeadline:         http.StatusGatewayTimeout,
}

// encodeError writes the refusal as JSON, with a Retry-After header if it has a
// time to retry after.
func (in *Instance) encodeError(_ context.Context, err error, w http.ResponseWriter) {
	refusal := domain.AsRefusal(err)
	in.Metrics.Refused(refusal)
	status, ok := httpStatus[refusal.Reason]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	w.Header().Set("Content-Type", "application/json")
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(domain.WholeSeconds(refusal.RetryAfter.Std()), 10))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(refusal) // the caller detects a closed connection
}

func (in *Instance) serveRequest(w http.ResponseWriter, r *http.Request) {
	call, refusal := in.decodeRequest(r)
	if refusal != nil {
		in.encodeError(r.Context(), refusal, w)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), call.Deadline)
	defer cancel()
	answer, err := in.Request(ctx, call)
	if err != nil {
		in.encodeError(ctx, err, w)
		return
	}
	in.streamAnswer(w, call, answer)
}

// streamAnswer streams a backend server's answer to the caller. If it ends early
// the connection is closed abruptly, so that the caller can't mistake a partial
// answer for a complete one.
func (in *Instance) streamAnswer(w http.ResponseWriter, call *dispatch.Call, answer *dispatch.Answer) {
	defer func() { _ = answer.Body.Close() }()
	header := w.Header()
	header.Set(headerRequestID, call.ID)
	if answer.ContentType != "" {
		header.Set("Content-Type", answer.ContentType)
	}
	if answer.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	if answer.Repeat {
		header.Set(headerRepeat, "1")
	}
	w.WriteHeader(answer.Status)
	if _, err := io.Copy(w, answer.Body); err != nil {
		in.Metrics.Refused(domain.OutcomeUnknown(domain.ReasonAnswerIncomplete, err.Error()))
		panic(http.ErrAbortHandler)
	}
	in.observeAnswer(call.ClassName, call.Class.Expectation.Std(), time.Since(call.Received))
}

func (in *Instance) decodeRequest(r *http.Request) (*dispatch.Call, *domain.Refusal) {
	received := time.Now()
	account, refusal := in.authenticate(r)
	if refusal != nil {
		return nil, refusal
	}
	declared := in.configuration.Current().Declarations
	name := domain.ClassName(r.PathValue("class"))
	class, ok := declared.Classes[name]
	if !ok || class.Kind != domain.RequestClass {
		return nil, domain.Refuse(domain.ReasonUnknownClass, "class", fmt.Sprintf("%q is not a declared class of requests", name),
			"use a declared class, or have an operator declare it")
	}
	id := r.Header.Get(headerRequestID)
	if !admission.IsValidID(id) {
		return nil, domain.Refuse(domain.ReasonInvalid, headerRequestID, "is missing or has characters other than letters, digits, '.', '_' and '-'",
			"choose an id of 1 to 128 such characters; repeat a request with the same id")
	}
	wait, refusal := in.deadline(r, class)
	if refusal != nil {
		return nil, refusal
	}
	body, refusal := in.readBody(r)
	if refusal != nil {
		return nil, refusal
	}
	return &dispatch.Call{
		ID: id, Account: account, Weight: declared.Accounts[account].Weight, PerSecond: declared.Accounts[account].RequestsPerSecond,
		ClassName: name, Class: class, Body: body, ContentType: r.Header.Get("Content-Type"),
		Received: received, Deadline: received.Add(wait),
	}, nil
}

func (in *Instance) deadline(r *http.Request, class domain.Class) (time.Duration, *domain.Refusal) {
	text := r.Header.Get(headerDeadline)
	if text == "" {
		return class.Expectation.Std(), nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait <= 0 || wait > in.Settings.Limits.RequestTimeout.Std() {
		return 0, domain.Refuse(domain.ReasonInvalid, headerDeadline,
			fmt.Sprintf("%q is not a positive duration within limits.request_timeout", text), `write how long you wait, such as "800ms"`)
	}
	return wait, nil
}

// health is the body of /healthz and /readyz.
type health struct {
	Ready                bool   `json:"ready"`
	Leaving              bool   `json:"leaving"`
	ConfigurationVersion uint64 `json:"configuration_version"`
	// LogAgeMs is the time since the last successful read of the log, or -1 if
	// there was none. While it grows, the configuration may be outdated.
	LogAgeMs    int64 `json:"log_age_ms"`
	HeldRecords int   `json:"held_records"`
}

func (in *Instance) health() health {
	version := in.configuration.Current().Version
	return health{
		Ready: in.Ready(), Leaving: in.leaving.Load(), ConfigurationVersion: uint64(version),
		LogAgeMs: in.logAgeMs(), HeldRecords: in.held.count(),
	}
}

// Ready reports whether the instance serves callers: it has a configuration, has
// read the platform's lists at least once, and is not leaving.
func (in *Instance) Ready() bool {
	listed := in.inventory.Load().Versions != port.ListVersions{}
	return in.configuration.Current().Version > 0 && listed && !in.leaving.Load()
}

func (in *Instance) healthz(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, in.health())
}

func (in *Instance) readyz(w http.ResponseWriter, _ *http.Request) {
	h := in.health()
	status := http.StatusOK
	if !h.Ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, h)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller detects a closed connection
}

func decodeStrict(raw []byte, into any) *domain.Refusal {
	decoder := json.NewDecoder(newReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		field := "body"
		var wrongType *json.UnmarshalTypeError
		if errors.As(err, &wrongType) && wrongType.Field != "" {
			field = wrongType.Field
		}
		return domain.Refuse(domain.ReasonInvalid, field, err.Error(), "send JSON with the fields of docs/operators/callers.md")
	}
	return nil
}
