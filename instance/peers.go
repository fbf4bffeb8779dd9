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

// The methods that peers call.
const (
	methodPing          = "member.ping"
	methodConfiguration = "configuration.get"
	methodImage         = "state.image"
	methodHold          = "state.hold"
	methodSubmit        = "job.submit"
	methodJob           = "job.get"
	methodCancel        = "job.cancel"
	methodHeld          = "job.held"
	methodDrain         = "worker.drain"
	methodEvacuate      = "centre.evacuate"
)

// callTimeout bounds a call to a peer.
const callTimeout = 2 * time.Second

// refusalCode is the jsonrpc2 code of an error that carries a refusal.
const refusalCode jrpc2.Code = -32050

func (in *Instance) peerMethods() handler.Map {
	return handler.Map{
		methodPing:          handler.New(in.servePing),
		methodConfiguration: handler.New(in.serveConfiguration),
		methodImage:         handler.New(in.serveImage),
		methodHold:          handler.New(in.serveHold),
		methodSubmit:        handler.New(refusing(in.serveSubmit)),
		methodJob:           handler.New(refusing(in.serveJob)),
		methodCancel:        handler.New(refusing(in.serveCancel)),
		methodHeld:          handler.New(in.serveHeld),
		methodDrain:         handler.New(in.serveDrain),
		methodEvacuate:      handler.New(in.serveEvacuate),
	}
}

// refusing turns a refusal into an error whose data carries it whole.
func refusing[P, R any](f func(context.Context, P) (R, error)) func(context.Context, P) (R, error) {
	return func(ctx context.Context, params P) (R, error) {
		result, err := f(ctx, params)
		if err == nil {
			return result, nil
		}
		refusal := domain.AsRefusal(err)
		return result, jrpc2.Errorf(refusalCode, "%s", refusal.Message).WithData(refusal)
	}
}

// callPeer calls a peer and brings back the refusal that it answered. A call
// without an answer leaves the outcome unknown.
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
	in.takePing(p)
	if p.Target != nil {
		answer, err := in.sendPing(ctx, p.Target.Address, in.newPing(p.Target.ID), probeTimeout/2)
		if err != nil {
			return ping{}, err
		}
		in.takePing(answer)
	}
	return in.newPing(p.From.ID), nil
}

func (in *Instance) serveConfiguration(context.Context) (configuration.Snapshot, error) {
	return in.configuration.Current(), nil
}

// recovered is what a new instance takes from a peer: the jobs, and the records
// that wait for the log, so that copies outlive the replacement of instances,
// the configuration that the jobs are planned by, and operators' orders.
type recovered struct {
	Image         state.Image            `json:"image"`
	Held          []hold                 `json:"held,omitempty"`
	Configuration configuration.Snapshot `json:"configuration"`
	// Orders are not in the log: only peers can pass them on.
	Orders orders `json:"orders"`
	// Recovered tells whether the peer has read all or was told by one that has.
	Recovered bool `json:"recovered,omitempty"`
}

func (in *Instance) serveImage(context.Context) (recovered, error) {
	return recovered{
		// Read before the rest: what the peer has then is in it.
		Recovered: in.recovered.Load(),
		Image:     in.jobs.Image(), Held: in.held.all(), Configuration: in.configuration.Current(),
		Orders: in.draining.orders(),
	}, nil
}

func (in *Instance) serveHold(_ context.Context, h hold) (bool, error) {
	if !in.held.add(h.Stream, h.Record, false) {
		return false, nil
	}
	in.foldHeld(h.Stream, h.Record)
	return true, nil
}

func (in *Instance) serveSubmit(ctx context.Context, job domain.Job) (Accepted, error) {
	return in.submitHere(ctx, job)
}

// jobQuery names a job of one account.
type jobQuery struct {
	Account domain.AccountID `json:"account"`
	ID      domain.JobID     `json:"id"`
}

func (in *Instance) serveJob(_ context.Context, q jobQuery) (state.Status, error) {
	return in.jobHere(q)
}

func (in *Instance) serveCancel(ctx context.Context, q jobQuery) (Accepted, error) {
	return in.cancelHere(ctx, q)
}

// heldAnswer is why a job waits, if the asked instance plans and holds it back.
type heldAnswer struct {
	Held scheduler.Held `json:"held"`
	OK   bool           `json:"ok"`
}

func (in *Instance) serveHeld(ctx context.Context, q jobQuery) (heldAnswer, error) {
	held, ok := in.planner.Explain(ctx, q.ID)
	return heldAnswer{Held: held, OK: ok}, nil
}

// drainOrder empties a worker, or puts it back in use.
type drainOrder struct {
	Worker domain.WorkerID `json:"worker"`
	Undo   bool            `json:"undo"`
}

// evacuateOrder lets a data centre get nothing new, or takes it back.
type evacuateOrder struct {
	Undo bool `json:"undo"`
}

func (in *Instance) serveEvacuate(_ context.Context, order evacuateOrder) (bool, error) {
	in.draining.evacuate(order)
	return true, nil
}

func (in *Instance) serveDrain(_ context.Context, order drainOrder) (bool, error) {
	in.draining.set(order)
	return true, nil
}
