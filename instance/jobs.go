package instance

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/planner"
	"github.com/cobalttide/cobalttide/scheduler"
	"github.com/cobalttide/cobalttide/scheduler/admission"
	"github.com/cobalttide/cobalttide/state"
)

// Accepted is the response to a submission or a cancellation.
type Accepted struct {
	ID domain.JobID `json:"id"`
	// Durability is where the record of the call is stored.
	Durability Durability `json:"durability"`
	// Repeat is set if an earlier call had the same effect.
	Repeat bool `json:"repeat,omitempty"`
}

// orderStore holds the operators' orders in force: the workers that are being
// drained, and since when the whole data centre is evacuated.
type orderStore struct {
	mu        sync.Mutex
	drained   map[domain.WorkerID]bool
	evacuated time.Time
}

// setEvacuation applies an order for the whole data centre. A repeated order
// keeps the time of the first.
func (d *orderStore) setEvacuation(order evacuateOrder) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case order.Undo:
		d.evacuated = time.Time{}
	case d.evacuated.IsZero():
		d.evacuated = time.Now()
	}
}

// evacuatedSince returns when the data centre was evacuated, or the zero time if
// it is in use.
func (d *orderStore) evacuatedSince() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evacuated
}

func (d *orderStore) isEvacuated() bool { return !d.evacuatedSince().IsZero() }

func (d *orderStore) setDrain(order drainOrder) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := make(map[domain.WorkerID]bool, len(d.drained)+1)
	for id := range d.drained {
		next[id] = true
	}
	next[order.Worker] = true
	if order.Undo {
		delete(next, order.Worker)
	}
	d.drained = next
}

// operatorOrders are the orders of operators, which are not recorded in the log.
type operatorOrders struct {
	Drained []domain.WorkerID `json:"drained,omitempty"`
	// Evacuated is zero while the data centre is in use.
	Evacuated time.Time `json:"evacuated,omitzero"`
}

// snapshot returns the orders in force.
func (d *orderStore) snapshot() operatorOrders {
	return operatorOrders{Drained: slices.Sorted(maps.Keys(d.drainedWorkers())), Evacuated: d.evacuatedSince()}
}

// merge adds the orders in force at a peer.
func (d *orderStore) merge(o operatorOrders) {
	for _, worker := range o.Drained {
		d.setDrain(drainOrder{Worker: worker})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.evacuated.IsZero() {
		d.evacuated = o.Evacuated
	}
}

// drainedWorkers returns the drained workers. The map is replaced, never
// modified.
func (d *orderStore) drainedWorkers() map[domain.WorkerID]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drained
}

func (in *Instance) wirePlanner(options Options) {
	plannerOptions := planner.DefaultOptions()
	if options.Planner != nil {
		plannerOptions = *options.Planner
	}
	in.planner = &planner.Runner{
		DataCentre: in.Settings.DataCentre, Instance: in.ID, Options: plannerOptions,
		Workers: in.platform, Publisher: in, Jobs: in.jobs,
		Configuration: in.configuration.Current, Fleet: in.fleet,
		Draining: in.orders.drainedWorkers, Evacuated: in.orders.isEvacuated, LogDown: in.logUnreachable,
		HoldsRole: in.isPlanner, OnRoleChange: in.setPlanning,
	}
	in.planner.Init()
}

// Submit accepts a job, in this data centre or in the one that the job names.
func (in *Instance) Submit(ctx context.Context, job domain.Job) (Accepted, error) {
	if job.DataCentre == "" {
		job.DataCentre = in.Settings.DataCentre
	}
	if job.DataCentre == in.Settings.DataCentre {
		return in.submitLocal(ctx, job)
	}
	var accepted Accepted
	err := in.callDataCentre(ctx, job.DataCentre, methodSubmit, job, &accepted)
	return accepted, err
}

// callDataCentre calls an instance of another data centre, and tries the next one
// if there is no answer. Submissions and cancellations may be repeated: both are
// idempotent by the job's id.
func (in *Instance) callDataCentre(ctx context.Context, dc domain.DataCentre, method string, params, result any) error {
	live := in.members.live(dc)
	if len(live) == 0 {
		return domain.Refuse(domain.ReasonWrongDataCentre, "data_centre",
			fmt.Sprintf("no live instance of data centre %q is known in %q", dc, in.Settings.DataCentre),
			"check the name; retry later, or use an instance of that data centre").WithRetryAfter(time.Second)
	}
	for _, m := range live {
		err := in.callPeer(ctx, m.Address, method, params, result)
		if err == nil {
			return nil
		}
		if refusal, ok := err.(*domain.Refusal); ok {
			return refusal
		}
	}
	return domain.OutcomeUnknown(domain.ReasonWrongDataCentre,
		fmt.Sprintf("no instance of data centre %q answers calls from %q", dc, in.Settings.DataCentre)).WithRetryAfter(time.Second)
}

func (in *Instance) submitLocal(ctx context.Context, job domain.Job) (Accepted, error) {
	digest := admission.Digest(job)
	if known, ok := in.jobs.Get(job.ID); ok {
		return repeatedSubmission(known, digest)
	}
	snapshot := in.configuration.Current()
	if snapshot.Version == 0 {
		return Accepted{}, notConfigured()
	}
	checked := admission.Snapshot{Declarations: snapshot.Declarations, Workers: in.fleet()}
	if refusal := admission.Check(job, checked); refusal != nil {
		return Accepted{}, refusal
	}
	job.Submitted = time.Now()
	record, err := state.NewRecord("accepted/"+string(job.ID)+"/"+digest[:16], state.KindAccepted, state.Accepted{Job: job, Digest: digest})
	if err != nil {
		return Accepted{}, err
	}
	durability, err := in.persist(ctx, record)
	if err != nil {
		return Accepted{}, err
	}
	in.Metrics.jobs.WithLabelValues(string(job.Class)).Inc()
	return Accepted{ID: job.ID, Durability: durability}, in.confirmDigest(ctx, job.ID, digest)
}

func notConfigured() *domain.Refusal {
	return domain.Refuse(domain.ReasonNotReady, "", "the instance has no configuration yet",
		"apply declarations with cobaltctl apply, or retry after the given time").WithRetryAfter(time.Second)
}

func repeatedSubmission(known state.Status, digest string) (Accepted, error) {
	if known.Digest != digest {
		return Accepted{}, idReused()
	}
	return Accepted{ID: known.Job.ID, Durability: InLog, Repeat: true}, nil
}

func idReused() *domain.Refusal {
	return domain.Refuse(domain.ReasonIDReused, "id", "the id is in use by a job with another body", "use a new id for a new job")
}

// confirmDigest waits until the job has been folded on this instance and refuses
// the submission if the folded job has another body: of two submissions with the
// same id, the first one in the log wins.
func (in *Instance) confirmDigest(ctx context.Context, id domain.JobID, digest string) error {
	for {
		changed := in.jobs.Watch(id)
		if known, ok := in.jobs.Get(id); ok {
			if known.Digest != digest {
				return idReused()
			}
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil // the record is stored; a repeated submission gets the final answer
		}
	}
}

// unknownJob returns the same refusal for a job that does not exist and for one
// of another account, so that callers can't probe for other accounts' ids.
func unknownJob() *domain.Refusal {
	return domain.Refuse(domain.ReasonNotFound, "id", "the account has no such job in this data centre",
		"check the id; for a job of another data centre add ?data_centre=NAME")
}

// jobsNotLoaded returns the refusal for an unknown job that may exist.
func jobsNotLoaded() *domain.Refusal {
	return domain.Refuse(domain.ReasonNotReady, "", "the instance has not read all jobs yet, so the job may exist",
		"retry, or use another instance").WithRetryAfter(time.Second)
}

func (in *Instance) localJob(q jobQuery) (state.Status, error) {
	status, ok := in.jobs.Get(q.ID)
	if !ok && !in.hasReadAllJobs() {
		return state.Status{}, jobsNotLoaded()
	}
	if !ok || status.Job.Account != q.Account {
		return state.Status{}, unknownJob()
	}
	return status, nil
}

// Job returns the status of an account's job.
func (in *Instance) Job(ctx context.Context, account domain.AccountID, id domain.JobID, dc domain.DataCentre) (state.Status, error) {
	q := jobQuery{Account: account, ID: id}
	if dc == "" || dc == in.Settings.DataCentre {
		return in.localJob(q)
	}
	var status state.Status
	err := in.callDataCentre(ctx, dc, methodJob, q, &status)
	return status, err
}

// Wait returns the job's status once the job has ended, or its latest status when
// ctx ends.
func (in *Instance) Wait(ctx context.Context, account domain.AccountID, id domain.JobID, dc domain.DataCentre) (state.Status, error) {
	for {
		changed := in.jobs.Watch(id)
		status, err := in.Job(ctx, account, id, dc)
		if err != nil || status.State.IsFinal() {
			return status, err
		}
		remote := dc != "" && dc != in.Settings.DataCentre
		if !in.waitForChange(ctx, changed, remote) {
			return status, nil
		}
	}
}

// remotePollInterval is the interval at which Wait polls a job of another data
// centre.
const remotePollInterval = 500 * time.Millisecond

func (in *Instance) waitForChange(ctx context.Context, changed <-chan struct{}, remote bool) bool {
	if remote {
		sleep(ctx, remotePollInterval)
		return ctx.Err() == nil
	}
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}

func (in *Instance) cancelLocal(ctx context.Context, q jobQuery) (Accepted, error) {
	status, err := in.localJob(q)
	if err != nil {
		return Accepted{}, err
	}
	if status.State.IsFinal() || status.CancelRequested {
		return Accepted{ID: q.ID, Durability: InLog, Repeat: true}, nil
	}
	record, err := state.NewRecord("cancel/"+string(q.ID), state.KindCancel, state.Cancel{Job: q.ID})
	if err != nil {
		return Accepted{}, err
	}
	durability, err := in.persist(ctx, record)
	return Accepted{ID: q.ID, Durability: durability}, err
}

// Cancel requests the cancellation of an account's job. It is idempotent.
func (in *Instance) Cancel(ctx context.Context, account domain.AccountID, id domain.JobID, dc domain.DataCentre) (Accepted, error) {
	q := jobQuery{Account: account, ID: id}
	if dc == "" || dc == in.Settings.DataCentre {
		return in.cancelLocal(ctx, q)
	}
	var accepted Accepted
	err := in.callDataCentre(ctx, dc, methodCancel, q, &accepted)
	return accepted, err
}

// Explanation is a job's status and the reason why it is not running.
type Explanation struct {
	Status state.Status `json:"status"`
	// Held is set while the scheduler holds the job back.
	Held *scheduler.Held `json:"held,omitempty"`
	// Note describes in one sentence what the job waits for.
	Note string `json:"note"`
}

// Explain returns why a job waits.
func (in *Instance) Explain(ctx context.Context, account domain.AccountID, id domain.JobID) (Explanation, error) {
	status, err := in.localJob(jobQuery{Account: account, ID: id})
	if err != nil {
		return Explanation{}, err
	}
	out := Explanation{Status: status, Note: "the job is " + string(status.State)}
	if status.State != domain.JobWaiting {
		return out, nil
	}
	answer := in.queryPlanner(ctx, jobQuery{Account: account, ID: id})
	if !answer.OK {
		out.Note = "the planner has not considered the job yet, or there is no planner at the moment"
		return out, nil
	}
	out.Held = &answer.Held
	out.Note = heldNotes[answer.Held.Reason]
	return out, nil
}

func (in *Instance) queryPlanner(ctx context.Context, q jobQuery) heldAnswer {
	m, ok := in.members.planner(in.Settings.DataCentre)
	if !ok {
		return heldAnswer{}
	}
	if m.ID == in.ID {
		answer, _ := in.serveHeld(ctx, q) // it returns no error
		return answer
	}
	var answer heldAnswer
	if err := in.callPeer(ctx, m.Address, methodHeld, q, &answer); err != nil {
		return heldAnswer{}
	}
	return answer
}

// heldNotes maps each reason to a description for callers.
var heldNotes = map[scheduler.HeldReason]string{
	scheduler.HeldNeverRunnable:  "the fleet has shrunk and is too small for the gang even when idle; request less, or wait for workers",
	scheduler.HeldTeamCeiling:    "the team would exceed its ceiling; wait for its other gangs, or have the ceiling raised",
	scheduler.HeldAccountCeiling: "the account would borrow beyond its ceiling; wait for its other gangs, or have the ceiling raised",
	scheduler.HeldReclaiming:     "borrowing gangs are being stopped to free capacity; the gang starts once they have stopped",
	scheduler.HeldNoBlock:        "no block of free workers is large enough; the job keeps its place in the queue",
	scheduler.HeldReserved:       "a block of workers is reserved for the gang and is being freed; see start_by",
	scheduler.HeldBehind:         "another job is ahead in the queue",
}
