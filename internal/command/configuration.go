package command

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	cobalttidev1 "github.com/cobalttide/cobalttide/api/cobalttide/v1"
	"github.com/cobalttide/cobalttide/api/cobalttide/v1/cobalttidev1connect"
	"github.com/cobalttide/cobalttide/configuration"
	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/instance/auth"
)

// callTimeout bounds each call to the operators' interface.
const callTimeout = 30 * time.Second

func (f *flags) operatorClient() (cobalttidev1connect.OperatorServiceClient, error) {
	if f.address == "" {
		return nil, errors.Mark(errors.New("no instance is named; set -address or COBALTTIDE_ADDRESS"), errUsage)
	}
	client := &http.Client{Timeout: callTimeout, Transport: bearerTransport{f.token}}
	return cobalttidev1connect.NewOperatorServiceClient(client, "http://"+f.address), nil
}

// bearerTransport adds the bearer token to every request.
type bearerTransport struct{ token string }

// RoundTrip implements http.RoundTripper.
func (b bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.token)
	return http.DefaultTransport.RoundTrip(r)
}

// reasonsByCode maps the status codes of the operators' interface to reasons of refusals.
var reasonsByCode = map[connect.Code]domain.Reason{
	connect.CodeAborted: domain.ReasonConflict, connect.CodeInvalidArgument: domain.ReasonInvalid,
	connect.CodeUnauthenticated: domain.ReasonUnauthenticated, connect.CodeNotFound: domain.ReasonNotFound,
}

func decodeError(err error) error {
	var coded *connect.Error
	if err == nil || !errors.As(err, &coded) {
		return err
	}
	if reason, ok := reasonsByCode[coded.Code()]; ok {
		return errors.Mark(errors.New(coded.Message()), domain.Refuse(reason, "", coded.Message(), ""))
	}
	if coded.Code() == connect.CodeUnknown || coded.Code() == connect.CodeUnavailable || coded.Code() == connect.CodeDeadlineExceeded {
		return domain.OutcomeUnknown(domain.ReasonOutcomeUnknown, coded.Message())
	}
	return err
}

func loadDeclarations(directory string) (configuration.Declarations, string, error) {
	declared, err := configuration.LoadDirectory(directory)
	if err != nil {
		return declared, "", err
	}
	if problems := configuration.Validate(declared); len(problems) > 0 {
		return declared, "", problems
	}
	raw, err := json.Marshal(declared)
	return declared, string(raw), err
}

func validate(_ context.Context, env Env, args []string) error {
	f := newFlags(env, "validate")
	operands, err := f.parse(args, "DIRECTORY")
	if err != nil {
		return err
	}
	declared, _, err := loadDeclarations(operands[0])
	if err != nil {
		return err
	}
	summary := map[string]int{"accounts": len(declared.Accounts), "classes": len(declared.Classes)}
	return f.print(env, summary, [][]string{{"accounts", strconv.Itoa(len(declared.Accounts))}, {"classes", strconv.Itoa(len(declared.Classes))}})
}

func requestPlan(ctx context.Context, f *flags, directory string) (*cobalttidev1.PlanResponse, string, cobalttidev1connect.OperatorServiceClient, error) {
	_, text, err := loadDeclarations(directory)
	if err != nil {
		return nil, "", nil, err
	}
	client, err := f.operatorClient()
	if err != nil {
		return nil, "", nil, err
	}
	plan, err := client.Plan(ctx, &cobalttidev1.PlanRequest{DeclarationsJson: text})
	return plan, text, client, decodeError(err)
}

func planCommand(ctx context.Context, env Env, args []string) error {
	f := newFlags(env, "plan")
	operands, err := f.parse(args, "DIRECTORY")
	if err != nil {
		return err
	}
	plan, _, _, err := requestPlan(ctx, f, operands[0])
	if err != nil {
		return err
	}
	rows := [][]string{{fmt.Sprintf("against version %d", plan.BaseVersion)}}
	for _, change := range plan.Changes {
		rows = append(rows, []string{change})
	}
	for _, warning := range plan.Warnings {
		rows = append(rows, []string{"warning: " + warning})
	}
	if err := f.print(env, plan, rows); err != nil {
		return err
	}
	return planProblems(plan)
}

func planProblems(plan *cobalttidev1.PlanResponse) error {
	var problems configuration.Problems
	for _, p := range plan.Problems {
		problems = append(problems, configuration.Problem{Field: p.Field, Message: p.Message, Remedy: p.Remedy})
	}
	return problems.Err()
}

func apply(ctx context.Context, env Env, args []string) error {
	f := newFlags(env, "apply")
	id := f.String("change-id", "", "id of the change, to repeat it after a lost response; generated if empty")
	operator := f.String("operator", env.Getenv("USER"), "operator's name for the history")
	operands, err := f.parse(args, "DIRECTORY")
	if err != nil {
		return err
	}
	plan, text, client, err := requestPlan(ctx, f, operands[0])
	if err != nil {
		return err
	}
	if err := planProblems(plan); err != nil {
		return err
	}
	return applyDeclarations(ctx, env, f, client, text, plan.BaseVersion, *id, *operator)
}

func applyDeclarations(ctx context.Context, env Env, f *flags, client cobalttidev1connect.OperatorServiceClient, text string, base uint64, id, operator string) error {
	if id == "" {
		raw := make([]byte, 8)
		_, _ = rand.Read(raw) // crypto/rand.Read never fails
		id = hex.EncodeToString(raw)
	}
	done, err := client.Apply(ctx, &cobalttidev1.ApplyRequest{DeclarationsJson: text, BaseVersion: base, ChangeId: id, Operator: operator})
	if err := decodeError(err); err != nil {
		return errors.Wrapf(err, "change-id %s", id)
	}
	return f.print(env, done, [][]string{{fmt.Sprintf("version %d is in force", done.Version)}})
}

func get(ctx context.Context, env Env, args []string) error {
	f := newFlags(env, "get")
	if _, err := f.parse(args); err != nil {
		return err
	}
	client, err := f.operatorClient()
	if err != nil {
		return err
	}
	current, err := client.GetConfiguration(ctx, &cobalttidev1.GetConfigurationRequest{})
	if err := decodeError(err); err != nil {
		return err
	}
	return f.print(env, current, [][]string{{fmt.Sprintf("// version %d", current.Version)}, {current.DeclarationsJson}})
}

func history(ctx context.Context, env Env, args []string) error {
	f := newFlags(env, "history")
	limit := f.Uint("limit", 20, "number of versions to list, newest first")
	if _, err := f.parse(args); err != nil {
		return err
	}
	client, err := f.operatorClient()
	if err != nil {
		return err
	}
	past, err := client.History(ctx, &cobalttidev1.HistoryRequest{Limit: uint32(*limit)})
	if err := decodeError(err); err != nil {
		return err
	}
	rows := [][]string{{"VERSION", "CHANGE", "OPERATOR"}}
	for _, entry := range past.Entries {
		rows = append(rows, []string{strconv.FormatUint(entry.Version, 10), entry.ChangeId, entry.Operator})
	}
	return f.print(env, past, rows)
}

func rollback(ctx context.Context, env Env, args []string) error {
	f := newFlags(env, "rollback")
	to := f.Uint64("to", 0, "version whose declarations are applied again, as a new version")
	if _, err := f.parse(args); err != nil {
		return err
	}
	client, err := f.operatorClient()
	if err != nil {
		return err
	}
	past, err := client.History(ctx, &cobalttidev1.HistoryRequest{Limit: 100})
	if err := decodeError(err); err != nil {
		return err
	}
	for _, entry := range past.Entries {
		if entry.Version == *to {
			base := past.Entries[0].Version
			return applyDeclarations(ctx, env, f, client, entry.DeclarationsJson, base, "", env.Getenv("USER"))
		}
	}
	return domain.Refuse(domain.ReasonNotFound, "to", fmt.Sprintf("version %d is not among the kept versions", *to), "choose one that cobaltctl history lists")
}

func status(ctx context.Context, env Env, args []string) error {
	f := newFlags(env, "status")
	if _, err := f.parse(args); err != nil {
		return err
	}
	client, err := f.operatorClient()
	if err != nil {
		return err
	}
	s, err := client.Status(ctx, &cobalttidev1.StatusRequest{})
	if err := decodeError(err); err != nil {
		return err
	}
	rows := [][]string{
		{"instance", s.Instance}, {"data centre", s.DataCentre}, {"planner", s.Planner},
		{"configuration", strconv.FormatUint(s.ConfigurationVersion, 10)},
		{"log age", (time.Duration(s.LogAgeMs) * time.Millisecond).String()},
		{"jobs active", strconv.Itoa(int(s.JobsActive))}, {"records pending", strconv.Itoa(int(s.RecordsPending))},
	}
	if s.EvacuatedMs > 0 {
		rows = append(rows, []string{"evacuated for", (time.Duration(s.EvacuatedMs) * time.Millisecond).String()})
	}
	for _, p := range s.Peers {
		rows = append(rows, []string{"peer", p.Instance, p.DataCentre, p.State})
	}
	for _, u := range s.Unmet {
		rows = append(rows, []string{"unmet guarantee", u.Account, fmt.Sprintf("%d tasks, %d fit", u.Tasks, u.Largest)})
	}
	return f.print(env, s, rows)
}

func drain(ctx context.Context, env Env, args []string) error {
	f := newFlags(env, "drain")
	undo := f.Bool("undo", false, "put the worker back in use")
	operands, err := f.parse(args, "WORKER")
	if err != nil {
		return err
	}
	client, err := f.operatorClient()
	if err != nil {
		return err
	}
	_, err = client.Drain(ctx, &cobalttidev1.DrainRequest{Worker: operands[0], Undo: *undo})
	if err := decodeError(err); err != nil {
		return err
	}
	return f.print(env, map[string]bool{"ok": true}, [][]string{{"done"}})
}

func evacuate(ctx context.Context, env Env, args []string) error {
	f := newFlags(env, "evacuate")
	undo := f.Bool("undo", false, "put the data centre back in use")
	operands, err := f.parse(args, "DATA-CENTRE")
	if err != nil {
		return err
	}
	client, err := f.operatorClient()
	if err != nil {
		return err
	}
	_, err = client.Evacuate(ctx, &cobalttidev1.EvacuateRequest{DataCentre: operands[0], Undo: *undo})
	if err := decodeError(err); err != nil {
		return err
	}
	return f.print(env, map[string]bool{"ok": true}, [][]string{{"done"}})
}

func token(_ context.Context, env Env, args []string) error {
	f := newFlags(env, "token")
	if _, err := f.parse(args); err != nil {
		return err
	}
	made, hash := auth.NewToken()
	return f.print(env, map[string]string{"token": made, "hash": hash}, [][]string{{"token", made}, {"hash", hash}})
}
