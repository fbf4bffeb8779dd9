package instance

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/handler"

	"github.com/cobalttide/cobalttide/configuration"
	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/scheduler"
	"github.com/cobalttide/cobalttide/state"
)

// The methods of the interface between peers.
const (
	methodPing          = "member.ping"
	methodConfiguration = "configuration.get"
	methodImage         = "state.image"
	methodStoreCopy     = "state.hold"
	methodSubmit        = "job.submit"
	methodJob           = "job.get"
	methodCancel        = "job.cancel"
	methodHeld          = "job.held"
	methodDrain         = "worker.drain"
	methodEvacuate      = "centre.evacuate"
)

// callTimeout bounds a call to a peer.
const callTimeout = 2 * time.Second

// refusalCode is the JSON-RPC code of an error whose data is a refusal.
const refusalCode jrpc2.Code = -32050

func (in *Instance) peerMethods() handler.Map {
	return handler.Map{
		methodPing:          handler.New(in.servePing),
		methodConfiguration: handler.New(in.serveConfiguration),
		methodImage:         handler.New(in.serveImage),
		methodStoreCopy:     handler.New(in.serveStoreCopy),
		methodSubmit:        handler.New(withRefusalData(in.serveSubmit)),
		methodJob:           handler.New(withRefusalData(in.serveJob)),
		methodCancel:        handler.New(withRefusalData(in.serveCancel)),
		methodHeld:          handler.New(in.serveHeld),
		methodDrain:         handler.New(in.serveDrain),
		methodEvacuate:      handler.New(in.serveEvacuate),
	}
}

// withRefusalData converts a refusal to a JSON-RPC error with the whole refusal as
// its data.
func withRefusalData[P, R any](f func(context.Context, P) (R, error)) func(context.Context, P) (R, error) {
	return func(ctx context.Context, params P) (R, error) {
		result, err := f(ctx, params)
		if err == nil {
			return result, nil
		}
		refusal := domain.AsRefusal(err)
		return result, jrpc2.Errorf(refusalCode, "%s", refusal.Message).WithData(refusal)
	}
}

// callPeer calls a peer. If the peer refuses the call, the error is its refusal;
// after any other error the outcome is unknown.
func (in *Instance) callPeer(ctx context.Context, address, method string, params, result any) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := in.peers.Call(callCtx, address, method, params, result)
	var rpcErr *jrpc2.Error
	if !errors.As(err, &rpcErr) {
		return err
	}
	var refusal domain.Refusal
	if rpcErr.Code != refusalCode || json.Unmarshal(rpcErr.Data, &refusal) != nil {
		return err
	}
	return &refusal
}

func (in *Instance) servePing(ctx context.Context, p ping) (ping, error) {
	in.mergePing(p)
	if p.Target != nil {
		answer, err := in.sendPing(ctx, p.Target.Address, in.newPing(p.Target.ID), probeTimeout/2)
		if err != nil {
			return ping{}, err
		}
		in.mergePing(answer)
	}
	return in.newPing(p.From.ID), nil
}

func (in *Instance) serveConfiguration(context.Context) (configuration.Snapshot, error) {
	return in.configuration.Current(), nil
}

// peerState is what a new instance fetches from a peer: the jobs, the records that
// are not in the log yet, so that their copies survive the replacement of
// instances, the configuration that the jobs are planned with, and the operators'
// orders.
type peerState struct {
	Image         state.Image            `json:"image"`
	Held          []recordCopy           `json:"held,omitempty"`
	Configuration configuration.Snapshot `json:"configuration"`
	// Orders are not in the log, so only peers have them.
	Orders operatorOrders `json:"orders"`
	// Recovered is set if the peer has read the whole state, from the log or from
	// another peer that had.
	Recovered bool `json:"recovered,omitempty"`
}

func (in *Instance) serveImage(context.Context) (peerState, error) {
	return peerState{
		// Read first: the fields that follow include all that was recovered by then.
		Recovered: in.recovered.Load(),
		Image:     in.jobs.Image(), Held: in.held.all(), Configuration: in.configuration.Current(),
		Orders: in.orders.snapshot(),
	}, nil
}

func (in *Instance) serveStoreCopy(_ context.Context, c recordCopy) (bool, error) {
	if !in.held.add(c.Stream, c.Record, false) {
		return false, nil
	}
	in.foldHeld(c.Stream, c.Record)
	return true, nil
}

func (in *Instance) serveSubmit(ctx context.Context, job domain.Job) (Accepted, error) {
	return in.submitLocal(ctx, job)
}

// jobQuery identifies a job of one account.
type jobQuery struct {
	Account domain.AccountID `json:"account"`
	ID      domain.JobID     `json:"id"`
}

func (in *Instance) serveJob(_ context.Context, q jobQuery) (state.Status, error) {
	return in.localJob(q)
}

func (in *Instance) serveCancel(ctx context.Context, q jobQuery) (Accepted, error) {
	return in.cancelLocal(ctx, q)
}

// heldAnswer is why a job waits. OK is set if the asked instance is the planner
// and holds the job back.
type heldAnswer struct {
	Held scheduler.Held `json:"held"`
	OK   bool           `json:"ok"`
}

func (in *Instance) serveHeld(ctx context.Context, q jobQuery) (heldAnswer, error) {
	held, ok := in.planner.Explain(ctx, q.ID)
	return heldAnswer{Held: held, OK: ok}, nil
}

// drainOrder drains a worker, or with Undo puts it back in use.
type drainOrder struct {
	Worker domain.WorkerID `json:"worker"`
	Undo   bool            `json:"undo"`
}

// evacuateOrder stops new work in the data centre, or with Undo allows it again.
type evacuateOrder struct {
	Undo bool `json:"undo"`
}

func (in *Instance) serveEvacuate(_ context.Context, order evacuateOrder) (bool, error) {
	in.orders.setEvacuation(order)
	return true, nil
}

func (in *Instance) serveDrain(_ context.Context, order drainOrder) (bool, error) {
	in.orders.setDrain(order)
	return true, nil
}
