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

// Accepted is the answer to a submission or a cancellation.
type Accepted struct {
	ID domain.JobID `json:"id"`
	// Durability says where the acceptance is safe.
	Durability Durability `json:"durability"`
	// Repeat is set when the job had been accepted before.
	Repeat bool `json:"repeat,omitempty"`
}

// drainSet holds the workers that operators are emptying, and since when the whole
// data centre gets nothing new.
type drainSet struct {
	mu        sync.Mutex
	workers   map[domain.WorkerID]bool
	evacuated time.Time
}

// evacuate takes an order on the whole data centre; one that stands keeps its time.
func (d *drainSet) evacuate(order evacuateOrder) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case order.Undo:
		d.evacuated = time.Time{}
	case d.evacuated.IsZero():
		d.evacuated = time.Now()
	}
}

// evacuatedSince returns the zero time while the data centre is in use.
func (d *drainSet) evacuatedSince() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evacuated
}

func (d *drainSet) isEvacuated() bool { return !d.evacuatedSince().IsZero() }

func (d *drainSet) set(order drainOrder) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := make(map[domain.WorkerID]bool, len(d.workers)+1)
	for id := range d.workers {
		next[id] = true
	}
	next[order.Worker] = true
	if order.Undo {
		delete(next, order.Worker)
	}
	d.workers = next
}

// orders are what operators have asked for and nobody has recorded.
type orders struct {
	Drained []domain.WorkerID `json:"drained,omitempty"`
	// Evacuated is zero while the data centre is in use.
	Evacuated time.Time `json:"evacuated,omitzero"`
}

// orders returns all orders in force.
func (d *drainSet) orders() orders {
	return orders{Drained: slices.Sorted(maps.Keys(d.current())), Evacuated: d.evacuatedSince()}
}

// take adds a peer's orders.
func (d *drainSet) take(o orders) {
	for _, worker := range o.Drained {
		d.set(drainOrder{Worker: worker})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.evacuated.IsZero() {
		d.evacuated = o.Evacuated
	}
}

// current returns the set; it is replaced and never changed.
func (d *drainSet) current() map[domain.WorkerID]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.workers
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
		Draining: in.draining.current, Evacuated: in.draining.isEvacuated, LogDown: in.logAway,
		Mine: in.plans, OnChange: in.planningChanged,
	}
	in.planner.Init()
}

// Submit accepts a job, here or in the data centre that it names.
func (in *Instance) Submit(ctx context.Context, job domain.Job) (Accepted, error) {
	if job.DataCentre == "" {
		job.DataCentre = in.Settings.DataCentre
	}
	if job.DataCentre == in.Settings.DataCentre {
		return in.submitHere(ctx, job)
	}
	var accepted Accepted
	err := in.elsewhere(ctx, job.DataCentre, methodSubmit, job, &accepted)
	return accepted, err
}

// elsewhere carries a call to an instance of another data centre. A submission
// or a cancellation may be repeated: both are idempotent by the job's id.
func (in *Instance) elsewhere(ctx context.Context, dc domain.DataCentre, method string, params, result any) error {
	present := in.members.present(dc)
	if len(present) == 0 {
		return domain.Refuse(domain.ReasonWrongDataCentre, "data_centre",
			fmt.Sprintf("no instance of data centre %q is known at %q", dc, in.Settings.DataCentre),
			"check the name; come back, or ask an instance of that data centre").After(time.Second)
	}
	for _, m := range present {
		err := in.callPeer(ctx, m.Address, method, params, result)
		if err == nil {
			return nil
		}
		if refusal, ok := err.(*domain.Refusal); ok {
			return refusal
		}
	}
	return domain.OutcomeUnknown(domain.ReasonWrongDataCentre,
		fmt.Sprintf("no instance of data centre %q answers from %q", dc, in.Settings.DataCentre)).After(time.Second)
}

func (in *Instance) submitHere(ctx context.Context, job domain.Job) (Accepted, error) {
	digest := admission.Digest(job)
	if known, ok := in.jobs.Get(job.ID); ok {
		return repeated(known, digest)
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
	durability, err := in.publish(ctx, record)
	if err != nil {
		return Accepted{}, err
	}
	in.Metrics.jobs.WithLabelValues(string(job.Class)).Inc()
	return Accepted{ID: job.ID, Durability: durability}, in.confirmFirst(ctx, job.ID, digest)
}

func notConfigured() *domain.Refusal {
	return domain.Refuse(domain.ReasonNotReady, "", "the instance has no configuration yet",
		"apply declarations with cobaltctl apply, or come back after the time given").After(time.Second)
}

func repeated(known state.Status, digest string) (Accepted, error) {
	if known.Digest != digest {
		return Accepted{}, idReused()
	}
	return Accepted{ID: known.Job.ID, Durability: InLog, Repeat: true}, nil
}

func idReused() *domain.Refusal {
	return domain.Refuse(domain.ReasonIDReused, "id", "the id belongs to a job with another body", "use a new id for a new job")
}

// confirmFirst waits until the job is folded here. Of two submissions with one
// id and different bodies the log's first stands, and the other is told so.
func (in *Instance) confirmFirst(ctx context.Context, id domain.JobID, digest string) error {
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
			return nil // it is in the log; the answer to a repeat settles the rest
		}
	}
}

// unknownJob is the same for a job that does not exist and for another
// account's, so that ids can't be probed.
func unknownJob() *domain.Refusal {
	return domain.Refuse(domain.ReasonNotFound, "id", "the account has no such job here",
		"check the id; a job of another data centre is asked for with ?data_centre=NAME")
}

// jobsNotRead says that an unknown job may exist.
func jobsNotRead() *domain.Refusal {
	return domain.Refuse(domain.ReasonNotReady, "", "the instance can't tell yet whether there is such a job: it has not read all of them",
		"ask again, or ask another instance").After(time.Second)
}

func (in *Instance) jobHere(q jobQuery) (state.Status, error) {
	status, ok := in.jobs.Get(q.ID)
	if !ok && !in.hasReadAll() {
		return state.Status{}, jobsNotRead()
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
		return in.jobHere(q)
	}
	var status state.Status
	err := in.elsewhere(ctx, dc, methodJob, q, &status)
	return status, err
}

// Wait returns the status once the job has ended, or when ctx ends.
func (in *Instance) Wait(ctx context.Context, account domain.AccountID, id domain.JobID, dc domain.DataCentre) (state.Status, error) {
	for {
		changed := in.jobs.Watch(id)
		status, err := in.Job(ctx, account, id, dc)
		if err != nil || status.State.Final() {
			return status, err
		}
		remote := dc != "" && dc != in.Settings.DataCentre
		if !in.waitForChange(ctx, changed, remote) {
			return status, nil
		}
	}
}

// remotePoll is the interval at which a job elsewhere is asked for.
const remotePoll = 500 * time.Millisecond

func (in *Instance) waitForChange(ctx context.Context, changed <-chan struct{}, remote bool) bool {
	if remote {
		sleep(ctx, remotePoll)
		return ctx.Err() == nil
	}
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}

func (in *Instance) cancelHere(ctx context.Context, q jobQuery) (Accepted, error) {
	status, err := in.jobHere(q)
	if err != nil {
		return Accepted{}, err
	}
	if status.State.Final() || status.CancelRequested {
		return Accepted{ID: q.ID, Durability: InLog, Repeat: true}, nil
	}
	record, err := state.NewRecord("cancel/"+string(q.ID), state.KindCancel, state.Cancel{Job: q.ID})
	if err != nil {
		return Accepted{}, err
	}
	durability, err := in.publish(ctx, record)
	return Accepted{ID: q.ID, Durability: durability}, err
}

// Cancel asks for the end of an account's job. It may be repeated.
func (in *Instance) Cancel(ctx context.Context, account domain.AccountID, id domain.JobID, dc domain.DataCentre) (Accepted, error) {
	q := jobQuery{Account: account, ID: id}
	if dc == "" || dc == in.Settings.DataCentre {
		return in.cancelHere(ctx, q)
	}
	var accepted Accepted
	err := in.elsewhere(ctx, dc, methodCancel, q, &accepted)
	return accepted, err
}

// Explanation is a job's status with what holds it back.
type Explanation struct {
	Status state.Status `json:"status"`
	// Held is set while a filter of the scheduler holds the job back.
	Held *scheduler.Held `json:"held,omitempty"`
	// Note says in a sentence what the job waits for.
	Note string `json:"note"`
}

// Explain tells why a job waits.
func (in *Instance) Explain(ctx context.Context, account domain.AccountID, id domain.JobID) (Explanation, error) {
	status, err := in.jobHere(jobQuery{Account: account, ID: id})
	if err != nil {
		return Explanation{}, err
	}
	out := Explanation{Status: status, Note: "the job is " + string(status.State)}
	if status.State != domain.JobWaiting {
		return out, nil
	}
	answer := in.askPlanner(ctx, jobQuery{Account: account, ID: id})
	if !answer.OK {
		out.Note = "the planner is about to consider the job, or none has taken over yet"
		return out, nil
	}
	out.Held = &answer.Held
	out.Note = heldNotes[answer.Held.Reason]
	return out, nil
}

func (in *Instance) askPlanner(ctx context.Context, q jobQuery) heldAnswer {
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

// heldNotes say what each reason means for the caller.
var heldNotes = map[scheduler.HeldReason]string{
	scheduler.HeldNeverRunnable:  "the fleet has shrunk and could not hold the gang even if it were empty; ask for less, or wait for workers",
	scheduler.HeldTeamCeiling:    "the team would exceed its ceiling; wait for its other gangs, or have the ceiling raised",
	scheduler.HeldAccountCeiling: "the account would borrow beyond its ceiling; wait for its other gangs, or have the ceiling raised",
	scheduler.HeldReclaiming:     "borrowers are being stopped to make room; the gang starts when they are gone",
	scheduler.HeldNoBlock:        "no block of workers is free that is large enough; the job keeps its place in the order",
	scheduler.HeldReserved:       "a block is reserved for the gang and drains; see start_by",
	scheduler.HeldBehind:         "another job goes first",
}
