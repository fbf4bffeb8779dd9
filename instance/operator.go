package instance

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"connectrpc.com/connect"

	cobalttidev1 "github.com/cobalttide/cobalttide/api/cobalttide/v1"
	"github.com/cobalttide/cobalttide/configuration"
	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/instance/auth"
	"github.com/cobalttide/cobalttide/membership"
	"github.com/cobalttide/cobalttide/port"
	"github.com/cobalttide/cobalttide/scheduler/guarantee"
	"github.com/cobalttide/cobalttide/scheduler/placement"
	"github.com/cobalttide/cobalttide/state"
)

// operatorBodyBytes bounds the body of an operator's call.
const operatorBodyBytes = 8 << 20

// applyTimeout bounds the wait until a change has been read back from the log.
const applyTimeout = 5 * time.Second

func newReader(raw []byte) io.Reader { return bytes.NewReader(raw) }

// operatorService implements the generated OperatorService.
type operatorService struct{ in *Instance }

func (s *operatorService) authorize(ctx context.Context) error {
	info, ok := connect.CallInfoForHandlerContext(ctx)
	if !ok {
		return connect.NewError(connect.CodeUnauthenticated, fmt.Errorf("the call context has no call information"))
	}
	declared := s.in.configuration.Current().Declarations
	refusal := auth.Operator(auth.Bearer(info.RequestHeader()), declared, s.in.Settings.BootstrapOperatorTokenHash)
	return s.connectError(refusal)
}

// connectCode maps reasons to Connect error codes. All others map to
// CodeUnavailable.
var connectCode = map[domain.Reason]connect.Code{
	domain.ReasonUnauthenticated: connect.CodeUnauthenticated,
	domain.ReasonInvalid:         connect.CodeInvalidArgument,
	domain.ReasonConflict:        connect.CodeAborted,
	domain.ReasonNotFound:        connect.CodeNotFound,
	domain.ReasonOutcomeUnknown:  connect.CodeUnknown,
}

// connectError counts a refusal and converts it to a Connect error. It returns nil
// for a nil refusal.
func (s *operatorService) connectError(r *domain.Refusal) error {
	if r == nil {
		return nil
	}
	s.in.Metrics.Refused(r)
	code, ok := connectCode[r.Reason]
	if !ok {
		code = connect.CodeUnavailable
	}
	return connect.NewError(code, r)
}

func encodeDeclarations(d configuration.Declarations) (string, error) {
	raw, err := json.MarshalIndent(d, "", "  ")
	return string(raw), err
}

// GetConfiguration implements OperatorServiceHandler.
func (s *operatorService) GetConfiguration(ctx context.Context, _ *cobalttidev1.GetConfigurationRequest) (*cobalttidev1.GetConfigurationResponse, error) {
	if err := s.authorize(ctx); err != nil {
		return nil, err
	}
	snapshot := s.in.configuration.Current()
	text, err := encodeDeclarations(snapshot.Declarations)
	return &cobalttidev1.GetConfigurationResponse{Version: uint64(snapshot.Version), DeclarationsJson: text}, err
}

func decodeDeclarations(text string) (configuration.Declarations, configuration.Problems) {
	var d configuration.Declarations
	if problem := configuration.DecodeStrict("declarations", []byte(text), &d); problem != nil {
		return d, configuration.Problems{*problem}
	}
	return d, configuration.Validate(d)
}

// Plan implements OperatorServiceHandler.
func (s *operatorService) Plan(ctx context.Context, r *cobalttidev1.PlanRequest) (*cobalttidev1.PlanResponse, error) {
	if err := s.authorize(ctx); err != nil {
		return nil, err
	}
	declared, problems := decodeDeclarations(r.DeclarationsJson)
	current := s.in.configuration.Current()
	if len(problems) == 0 {
		problems = s.in.feasibilityProblems(ctx, declared)
	}
	out := &cobalttidev1.PlanResponse{BaseVersion: uint64(current.Version)}
	for _, p := range problems {
		out.Problems = append(out.Problems, &cobalttidev1.Problem{Field: p.Field, Message: p.Message, Remedy: p.Remedy})
	}
	out.Changes = describeChanges(current.Declarations, configuration.Diff(current.Declarations, declared))
	out.Warnings = s.in.preemptionWarnings(declared)
	return out, nil
}

// describeChanges lists the entries that a change adds (+), changes (~) and
// removes (-).
func describeChanges(current configuration.Declarations, change configuration.Change) []string {
	var out []string
	for id, account := range change.Accounts {
		_, known := current.Accounts[id]
		out = append(out, changeSign(known, account == nil)+" accounts."+string(id))
	}
	for name, class := range change.Classes {
		_, known := current.Classes[name]
		out = append(out, changeSign(known, class == nil)+" classes."+string(name))
	}
	if len(change.OperatorTokenHashes) > 0 {
		out = append(out, "~ operator_token_hashes")
	}
	sort.Slice(out, func(i, j int) bool { return out[i][2:] < out[j][2:] })
	return out
}

func changeSign(known, removed bool) string {
	switch {
	case removed:
		return "-"
	case known:
		return "~"
	}
	return "+"
}

// feasibilityProblems returns the guarantees that do not fit into the data
// centres' workers, and removed classes with jobs that have not ended.
func (in *Instance) feasibilityProblems(ctx context.Context, d configuration.Declarations) configuration.Problems {
	var problems configuration.Problems
	for dc, workers := range in.workersByDataCentre(ctx) {
		cluster := placement.NewCluster(workers)
		for _, unmet := range guarantee.Bind(cluster, dc, d.Accounts, guarantee.Binding{}).Unmet {
			problems = append(problems, configuration.Problem{
				Field:   "accounts." + string(unmet.Account) + ".guarantees",
				Message: fmt.Sprintf("a block of %d tasks does not fit into %s beside the other guarantees; the largest that does has %d tasks", unmet.Shape.Tasks, dc, unmet.Largest),
				Remedy:  "reduce the guarantee there, or add workers first",
			})
		}
	}
	problems = append(problems, in.unverifiedClassRemovals(d)...)
	sort.Slice(problems, func(i, j int) bool { return problems[i].String() < problems[j].String() })
	active, _ := in.jobs.Active()
	for _, status := range active {
		if _, kept := d.Classes[status.Job.Class]; !kept {
			problems = append(problems, configuration.Problem{
				Field: "classes." + string(status.Job.Class), Message: "is removed while jobs of the class have not ended", Remedy: "keep it until they have ended",
			})
			break
		}
	}
	return problems
}

// unverifiedClassRemovals returns a problem for each removed class if the instance
// has not read all jobs, and so can't tell whether jobs of the class have ended.
func (in *Instance) unverifiedClassRemovals(d configuration.Declarations) configuration.Problems {
	if in.hasReadAllJobs() {
		return nil
	}
	var problems configuration.Problems
	for name := range in.configuration.Current().Declarations.Classes {
		if _, kept := d.Classes[name]; !kept {
			problems = append(problems, configuration.Problem{
				Field: "classes." + string(name), Message: "is removed while the instance has not read all jobs", Remedy: "retry later, or use another instance",
			})
		}
	}
	return problems
}

// workersByDataCentre returns the workers of every data centre, or only those of
// this one if the platform's list can't be read.
func (in *Instance) workersByDataCentre(ctx context.Context) map[domain.DataCentre][]domain.Worker {
	listCtx, cancel := context.WithTimeout(ctx, listInterval)
	defer cancel()
	workers := in.fleet()
	if all, err := in.platform.List(listCtx, port.ListQuery{}); err == nil {
		workers = all.Workers
	}
	out := map[domain.DataCentre][]domain.Worker{}
	for _, worker := range workers {
		out[worker.DataCentre] = append(out[worker.DataCentre], worker)
	}
	return out
}

// preemptionWarnings returns a warning for each running job that borrows workers
// and can't be preempted: a guarantee on these workers has to wait for its end.
func (in *Instance) preemptionWarnings(d configuration.Declarations) []string {
	var out []string
	active, _ := in.jobs.Active()
	for _, status := range active {
		class := d.Classes[status.Job.Class]
		if status.State == domain.JobRunning && !status.Guaranteed && !class.Preemptible() {
			out = append(out, fmt.Sprintf("job %s borrows workers and can't be preempted: a guarantee on these workers has to wait for its end", status.Job.ID))
		}
	}
	return out
}

// Apply implements OperatorServiceHandler.
func (s *operatorService) Apply(ctx context.Context, r *cobalttidev1.ApplyRequest) (*cobalttidev1.ApplyResponse, error) {
	if err := s.authorize(ctx); err != nil {
		return nil, err
	}
	version, refusal := s.in.Apply(ctx, r.DeclarationsJson, configuration.Version(r.BaseVersion), r.ChangeId, r.Operator)
	if refusal != nil {
		return nil, s.connectError(refusal)
	}
	return &cobalttidev1.ApplyResponse{Version: uint64(version)}, nil
}

// Apply makes the declarations the configuration in force. Of concurrent changes
// to the same version, the first one in the log wins.
func (in *Instance) Apply(ctx context.Context, declarations string, base configuration.Version, id, operator string) (configuration.Version, *domain.Refusal) {
	declared, problems := decodeDeclarations(declarations)
	if len(problems) == 0 {
		problems = in.feasibilityProblems(ctx, declared)
	}
	if len(problems) > 0 {
		return 0, domain.Refuse(domain.ReasonInvalid, problems[0].Field, strings.TrimSpace(problems.Error()), "correct the declarations; see cobaltctl plan")
	}
	if id == "" {
		return 0, domain.Refuse(domain.ReasonInvalid, "change_id", "is missing", "give the change an id, so that it can be repeated safely")
	}
	if outcome, ok := in.configuration.Outcome(id, base); ok {
		return changeResult(outcome)
	}
	current := in.configuration.Current()
	if current.Version != base {
		return 0, versionConflict(current.Version)
	}
	change := configuration.Diff(current.Declarations, declared)
	if change.IsEmpty() {
		return current.Version, nil
	}
	change.ID, change.Base, change.Operator = id, base, operator
	return in.appendChange(ctx, change)
}

func (in *Instance) appendChange(ctx context.Context, change configuration.Change) (configuration.Version, *domain.Refusal) {
	record, err := state.NewRecord("change/"+change.ID, configuration.KindChange, change)
	if err != nil {
		return 0, domain.AsRefusal(err)
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	_, appendErr := in.journal.Append(ctx, state.ConfigurationStream, record)
	for {
		outcome, ok := in.configuration.Outcome(change.ID, change.Base)
		if ok {
			return changeResult(outcome)
		}
		select {
		case <-time.After(foldPollInterval):
		case <-ctx.Done():
			return 0, changeOutcomeUnknown(appendErr)
		}
	}
}

func changeResult(o configuration.Outcome) (configuration.Version, *domain.Refusal) {
	if o.Accepted {
		return o.Version, nil
	}
	return 0, versionConflict(o.Version)
}

func versionConflict(inForce configuration.Version) *domain.Refusal {
	return domain.Refuse(domain.ReasonConflict, "base_version", fmt.Sprintf("version %d is in force", inForce),
		"check the change against that version with cobaltctl plan, then apply again")
}

func changeOutcomeUnknown(cause error) *domain.Refusal {
	refusal := domain.OutcomeUnknown(domain.ReasonOutcomeUnknown, fmt.Sprintf("timed out waiting for the log to confirm the change (append error: %v)", cause))
	refusal.Remedy = "repeat the call with the same change_id: the change is applied at most once"
	return refusal.WithRetryAfter(time.Second)
}

// History implements OperatorServiceHandler.
func (s *operatorService) History(ctx context.Context, r *cobalttidev1.HistoryRequest) (*cobalttidev1.HistoryResponse, error) {
	if err := s.authorize(ctx); err != nil {
		return nil, err
	}
	limit := int(r.Limit)
	if limit == 0 {
		limit = 20
	}
	out := &cobalttidev1.HistoryResponse{}
	for _, past := range s.in.configuration.History(limit) {
		text, err := encodeDeclarations(past.Declarations)
		if err != nil {
			return nil, err
		}
		out.Entries = append(out.Entries, &cobalttidev1.HistoryEntry{
			Version: uint64(past.Version), ChangeId: past.LastChange, Operator: past.Operator, DeclarationsJson: text,
		})
	}
	return out, nil
}

// Drain implements OperatorServiceHandler. The order is sent to the data centre's
// peers, which send it to instances that start later, so that it survives a
// change of planner. It is not recorded in the log: after a loss of all instances
// at once, an operator has to repeat it.
func (s *operatorService) Drain(ctx context.Context, r *cobalttidev1.DrainRequest) (*cobalttidev1.DrainResponse, error) {
	if err := s.authorize(ctx); err != nil {
		return nil, err
	}
	order := drainOrder{Worker: domain.WorkerID(r.Worker), Undo: r.Undo}
	known := false
	for _, worker := range s.in.fleet() {
		known = known || worker.ID == order.Worker
	}
	if !known {
		return nil, s.connectError(domain.Refuse(domain.ReasonNotFound, "worker", "is not listed in this data centre",
			"check the name, or use an instance of the worker's data centre"))
	}
	s.in.orders.setDrain(order)
	s.notifyPeers(ctx, methodDrain, order)
	return &cobalttidev1.DrainResponse{}, nil
}

// notifyPeers sends an order to the other live instances of the data centre, one
// of which is the planner unless this instance is.
func (s *operatorService) notifyPeers(ctx context.Context, method string, order any) {
	for _, m := range s.in.members.live(s.in.Settings.DataCentre) {
		var ok bool
		if m.ID != s.in.ID {
			_ = s.in.callPeer(ctx, m.Address, method, order, &ok)
		}
	}
}

// Evacuate implements OperatorServiceHandler. Like that of Drain, its order is sent
// to all peers and not recorded in the log.
func (s *operatorService) Evacuate(ctx context.Context, r *cobalttidev1.EvacuateRequest) (*cobalttidev1.EvacuateResponse, error) {
	if err := s.authorize(ctx); err != nil {
		return nil, err
	}
	if own := s.in.Settings.DataCentre; r.DataCentre != string(own) {
		return nil, s.connectError(domain.Refuse(domain.ReasonWrongDataCentre, "data_centre", "is not that of this instance, "+string(own),
			"use an instance of the data centre"))
	}
	order := evacuateOrder{Undo: r.Undo}
	s.in.orders.setEvacuation(order)
	s.notifyPeers(ctx, methodEvacuate, order)
	return &cobalttidev1.EvacuateResponse{}, nil
}

// Status implements OperatorServiceHandler.
func (s *operatorService) Status(ctx context.Context, _ *cobalttidev1.StatusRequest) (*cobalttidev1.StatusResponse, error) {
	if err := s.authorize(ctx); err != nil {
		return nil, err
	}
	in := s.in
	active, _ := in.jobs.Active()
	planner, _ := in.members.planner(in.Settings.DataCentre)
	out := &cobalttidev1.StatusResponse{
		Instance: string(in.ID), DataCentre: string(in.Settings.DataCentre), Planner: string(planner.ID),
		ConfigurationVersion: uint64(in.configuration.Current().Version), LogAgeMs: in.logAgeMs(),
		JobsActive: uint32(len(active)), RecordsPending: uint32(in.journal.Pending()),
	}
	if since := in.orders.evacuatedSince(); !since.IsZero() {
		out.EvacuatedMs = max(1, time.Since(since).Milliseconds())
	}
	for _, m := range in.members.all() {
		out.Peers = append(out.Peers, toPeer(m))
	}
	for _, unmet := range in.jobs.Binding().Unmet {
		out.Unmet = append(out.Unmet, &cobalttidev1.UnmetGuarantee{
			Account: string(unmet.Account), Tasks: uint32(unmet.Shape.Tasks), Largest: uint32(unmet.Largest),
		})
	}
	return out, nil
}

func toPeer(m membership.Member) *cobalttidev1.Peer {
	return &cobalttidev1.Peer{Instance: string(m.ID), DataCentre: string(m.DataCentre), Address: m.Address, State: string(m.State)}
}

func (in *Instance) logAgeMs() int64 {
	age := in.followers[state.JobStream(in.Settings.DataCentre)].SinceLastRead()
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}
