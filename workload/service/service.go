package service

import (
	"context"
	"encoding/json"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/events"
	"github.com/cobalttide/cobalttide/internal/clock"
	"github.com/cobalttide/cobalttide/telemetry"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// Settings configure one instance.
type Settings struct {
	// Instance is the name of the instance; it stays the same across restarts.
	Instance string
	// Address is where other instances reach this one.
	Address string
	Bounds  control.Bounds
	// PlannerTimeout is how long a planner may be silent before it is succeeded.
	PlannerTimeout time.Duration
	// StaleAfter is the age of the last reads at which this instance stops answering from them.
	StaleAfter time.Duration
	// PartialOutageGrace is how much older than StaleAfter one topic may be while the log serves
	// others: a part of the log is then down, and nothing new can be written there either.
	PartialOutageGrace time.Duration
	// Retention is how long a job's state is kept after its end; 0 keeps it forever.
	Retention time.Duration
	// EffectiveCores is the relative capacity of the instance, in any unit that all instances share.
	EffectiveCores float64
	// DataCentre is the data centre of the instance. Standbys are spread over the data centres.
	DataCentre string
	// AcceptTopics is the number of topics over which acceptances are distributed; 0 means one.
	AcceptTopics int
	// JobMemoryBytes bounds the memory of jobs that have not ended; 0 is no limit.
	JobMemoryBytes int64
	// Standbys is the number of instances that follow the planner's records; 0 means all.
	Standbys int
	// Hosts is the platform's service for maintenance; nil if there is none.
	Hosts Hosts
	// AdmissionDisabled turns off refusals of jobs that can never run or would start too late.
	AdmissionDisabled bool
	// Clock measures ages; nil is the runtime's clock, which stops during a suspension.
	Clock clock.Clock
	// OnResume is called after a suspension of this instance; nil is allowed.
	OnResume func()
	// OnPeersChanged receives the addresses of the other instances when they change.
	OnPeersChanged func([]string)
}

// Service is the scheduling service of one instance. Create it with New, then call Run.
type Service struct {
	settings Settings
	// clock measures the age of everything that was read.
	clock        clock.Clock
	log          Log
	meter        *meter
	sentAway     *sentAway
	submissions  *submissions
	unanswered   *unanswered
	decoder      Decoder
	workers      Workers
	events       *events.Log
	metrics      *telemetry.Metrics
	book         *workload.Book
	succession   *succession
	standby      *standby
	states       *follower
	acceptances  *acceptances
	plans        *follower
	declarations *follower
	directory    atomic.Pointer[Directory]
	pool         atomic.Pointer[knownPool]
	waves        *maintenanceWaves
	planState    *planState
	evacuations  *evacuations
	logRecovered *broadcast
	planning     atomic.Bool
	// roleMu is held while this instance claims the planner's role or plans. The records that
	// it has read for planning are discarded only while it is not held.
	roleMu sync.Mutex
	// lastPlanWrite is when the planner on this instance sent its last successful write.
	lastPlanWrite atomic.Pointer[time.Time]
	leaving       atomic.Bool
	// reportedEnds are the jobs whose end this instance has reported to callers.
	reportedEndsMu sync.Mutex
	reportedEnds   map[workload.JobID]bool
}

// New returns a service that has not read anything yet.
func New(settings Settings, log Log, decoder Decoder, workers Workers, eventLog *events.Log, metrics *telemetry.Metrics) *Service {
	away := newSentAway(settings)
	metered := newMeter(log, metrics, away)
	s := &Service{settings: settings, clock: settings.Clock, log: metered, meter: metered, sentAway: away, unanswered: newUnanswered(), submissions: newSubmissions(settings.JobMemoryBytes), decoder: decoder, workers: workers, events: eventLog, metrics: metrics, book: workload.NewBook(), waves: newMaintenanceWaves(), planState: newPlanState(), evacuations: newEvacuations(), reportedEnds: map[workload.JobID]bool{}, logRecovered: newBroadcast()}
	s.succession = newSuccession(settings.Instance, newIncarnation(), settings.PlannerTimeout, settings.Clock)
	s.succession.authority = settings.Bounds.AuthorityPeriod
	s.succession.leases = newInheritedLeases(settings.Bounds)
	if settings.Address != "" {
		// Until the rank is known, this instance claims after the others.
		s.succession.setTurn(turnsPerTimeout)
	}
	s.standby = newStandby(standbyCount(settings), settings.PlannerTimeout, s.clock.Now())
	s.states = s.follow(States, s.applyStates, s.applyState, s.noPause)
	s.states.interval = func() time.Duration { return statesReadInterval }
	s.acceptances = newAcceptances(settings.AcceptTopics, metered, func(topic Topic) *follower {
		return s.follow(topic, s.applyJobRecords, s.applyJobRecord, s.readerPause)
	})
	s.plans = s.follow(Plans, s.applyPlans, s.applyPlan, s.plansPause)
	s.declarations = s.follow(Declarations, s.applyDeclarations, s.applyDeclaration, s.noPause)
	s.declarations.interval = s.declarationsInterval
	s.declarations.wait = s.declarationsWait
	return s
}

func (s *Service) noPause() time.Duration { return 0 }

// standbyCount returns the number of standbys.
func standbyCount(settings Settings) int {
	if settings.Standbys <= 0 {
		return math.MaxInt32
	}
	return settings.Standbys
}

const (
	readerWait = 700 * time.Millisecond
	// plannerWait limits a planner's reads that wait for new records. A dead connection, or a
	// log that holds back new records from waiting reads, then delays a job by no more than
	// that. Only the planner reads this often.
	plannerWait = 250 * time.Millisecond
	// standbyPause is the pause of a standby after a read that returned records. A standby has
	// to be current by the time that the planner is taken for silent, which takes many times as
	// long.
	standbyPause  = 200 * time.Millisecond
	plannerPause  = 10 * time.Millisecond
	ownPlansPause = time.Second
)

func (s *Service) follow(topic Topic, applyAll func([]Entry), applyOne func(Entry), pause func() time.Duration) *follower {
	retry := slowReadRetryPause
	if topic == States {
		// The follower of the states detects the recovery of the log.
		retry = readRetryPause
	}
	return &follower{topic: topic, log: s.log, wait: s.readWait, pause: pause, retry: retry, logRecovered: s.logRecovered, clock: s.clock, applyAll: applyAll, applyOne: applyOne, connectionChanged: s.reportConnection}
}

func (s *Service) readWait() time.Duration {
	if s.planning.Load() {
		return plannerWait
	}
	return readerWait
}

func (s *Service) readerPause() time.Duration {
	if s.planning.Load() {
		return plannerPause
	}
	return standbyPause
}

// plansPause is long for a planner, which need not read its own records.
func (s *Service) plansPause() time.Duration {
	if s.planning.Load() {
		return ownPlansPause
	}
	return standbyPause
}

func (s *Service) reportConnection(topic Topic, ok bool, cause string) {
	if ok {
		s.events.Info(events.DependencyRegained, events.Fields{"dependency": "log", "topic": string(topic)})
		if topic == Plans {
			s.succession.resetSilence(s.plannerSilentSince(s.clock.Now()))
		}
		return
	}
	s.events.Info(events.DependencyLost, events.Fields{"dependency": "log", "topic": string(topic), "cause": cause})
}

func (s *Service) applyJobRecords(entries []Entry) {
	for _, e := range entries {
		s.applyJobRecord(e)
	}
}

func (s *Service) applyJobRecord(e Entry) {
	if err := s.book.Fold(e.Offset, e.Key, e.Value); err != nil {
		s.logUnreadable(e, err)
	}
}

func (s *Service) applyPlans(entries []Entry) {
	for _, e := range entries {
		s.applyPlan(e)
	}
	s.succession.resetSilence(s.plannerSilentSince(s.clock.Now()))
}

func (s *Service) applyPlan(e Entry) {
	s.succession.observe(e, s.clock.Now())
	s.storePlanRecord(e)
}

// storePlanRecord stores a planner's record of a maintenance wave, its state or a job. It ignores claims and
// heartbeats.
func (s *Service) storePlanRecord(e Entry) {
	switch {
	case e.Key == claimKey || e.Key == planHeartbeatKey:
	case control.IsWaveKey(e.Key):
		s.waves.record(e)
	case control.IsStateKey(e.Key):
		s.planState.record(e)
	default:
		s.applyJobRecord(e)
	}
}

// maxLoggedProblems limits the events for one configuration.
const maxLoggedProblems = 20

// logUnreadable logs that an entry, or a part of one, is not used.
func (s *Service) logUnreadable(e Entry, err error) {
	reason := FaultSyntax
	if problem := (*EntryError)(nil); errors.As(err, &problem) {
		reason = problem.Fault
	}
	s.events.Info(events.RecordUnreadable, events.Fields{"key": e.Key, "offset": e.Offset, "reason": string(reason), "cause": err.Error()})
}

// Run serves until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, work := range []func(context.Context){newMembers(s).run, s.states.run, s.declarations.run, s.acceptances.run, s.runStandby, s.elect, s.watchSuspensions} {
		group.Go(func() { work(ctx) })
	}
	group.Go(func() { s.meter.logPeriodically(ctx, s.events) })
	group.Wait()
}

// Leave gives up the planner's role and stops this instance from claiming it again.
func (s *Service) Leave() { s.leaving.Store(true) }

// Ready reports whether this instance should receive new callers.
func (s *Service) Ready() bool {
	return !s.leaving.Load() && s.CheckCurrent() == nil && s.isLogReachable()
}

// Directory returns the configuration in force, or nil before the first one is read.
func (s *Service) Directory() *Directory { return s.directory.Load() }

// Submit accepts a job. A nil error means that the job is in the log. A refusal with the
// outcome not-run means that it never will be.
func (s *Service) Submit(ctx context.Context, job *workload.Job) error {
	ctx = withSubmission(ctx)
	if _, known := s.book.Get(job.ID); known {
		s.logRepeated(job.ID)
		return nil
	}
	if err := job.Validate(); err != nil {
		return s.refuse(ctx, job.ID, err)
	}
	defer s.submissions.release(job)
	if known, refused := s.admit(ctx, job); known || refused != nil {
		if known {
			s.logRepeated(job.ID)
		}
		return refused
	}
	value, err := json.Marshal(job)
	if err != nil {
		return s.refuse(ctx, job.ID, err)
	}
	record := control.Record{Key: workload.AcceptedKey(job.ID), Value: value}
	began := s.clock.Now()
	s.unanswered.add(job.ID, began)
	err = s.commit(ctx, job.ID, record)
	if err == nil || isCertainlyNotDone(err) {
		s.unanswered.answered(job.ID)
	}
	if err == nil {
		s.applyJobRecord(Entry{Key: record.Key, Value: value})
		s.metrics.Observe(telemetry.Acceptance, s.clock.Since(began))
		s.events.Info(events.JobAccepted, events.Fields{"job": job.ID, "queue": job.Queue, "account": job.Account, "steps": len(job.Steps), "features": job.Features(), "shape": loggedShape(job), "version": s.configurationVersion(), "took_ms": s.clock.Since(began).Milliseconds()})
		return nil
	}
	if _, known := s.book.Get(job.ID); known {
		return nil
	}
	return s.refuse(ctx, job.ID, logErrorRefusal(err))
}

// maxLoggedShapeBytes limits the size of a job's steps in an event.
const maxLoggedShapeBytes = 1000

// loggedShape returns the job's steps for an event, from which a load can be replayed, or "" if
// that is too long.
func loggedShape(job *workload.Job) string {
	text, err := json.Marshal(job.Steps)
	if err != nil || len(text) > maxLoggedShapeBytes {
		return ""
	}
	return string(text)
}

// commit writes a record. It gives up while the caller still has time to try another instance,
// since only this one may be disconnected.
func (s *Service) commit(ctx context.Context, id workload.JobID, record control.Record) error {
	if deadline, ok := ctx.Deadline(); ok {
		limited, cancel := context.WithTimeout(ctx, max(time.Until(deadline)/2, minCommitTimeout))
		defer cancel()
		ctx = limited
	}
	return s.acceptances.add(ctx, id, record)
}

// minCommitTimeout is the minimum time for writing a record.
const minCommitTimeout = time.Second

// isCertainlyNotDone reports whether an error proves that nothing was or will be written.
func isCertainlyNotDone(err error) bool {
	return errors.Is(err, ErrNotDone) && !errors.Is(err, ErrOutcomeUnknown)
}

// logErrorRefusal converts an error of the log into the refusal whose outcome the error proves.
func logErrorRefusal(err error) error {
	if !isCertainlyNotDone(err) {
		return domain.OutcomeUnknown(domain.ReasonLogUnavailable, err.Error())
	}
	return domain.Refuse(domain.ReasonLogUnavailable, "", err.Error(), "come back later")
}

func (s *Service) configurationVersion() int64 {
	if d := s.directory.Load(); d != nil {
		return d.Version
	}
	return 0
}

// State returns the state of a job. A refusal with the reason not-found means that the job was
// never submitted. A final state never changes and is returned however long ago it was read.
func (s *Service) State(ctx context.Context, id workload.JobID) (workload.State, error) {
	state, err := s.latestState(ctx, id)
	if err == nil && state.IsFinal() {
		s.recordReportedEnd(id, state)
	}
	return state, s.withRetryAfter(ctx, id, err)
}

// maxReportedEnds limits reportedEnds; at the limit the set is cleared.
const maxReportedEnds = 10_000

// recordReportedEnd logs when callers are first shown the end of a job: for them it has not
// happened before.
func (s *Service) recordReportedEnd(id workload.JobID, state workload.State) {
	s.reportedEndsMu.Lock()
	known := s.reportedEnds[id]
	if len(s.reportedEnds) >= maxReportedEnds {
		clear(s.reportedEnds)
	}
	s.reportedEnds[id] = true
	s.reportedEndsMu.Unlock()
	if !known {
		s.events.Info(events.JobEndReported, events.Fields{"job": id, "state": string(state)})
	}
}

func (s *Service) latestState(ctx context.Context, id workload.JobID) (workload.State, error) {
	if e, known := s.book.Get(id); known && e.State.IsFinal() {
		return e.VisibleState(), nil
	}
	s.refreshStates(ctx)
	if err := s.CheckCurrent(); err != nil {
		return "", err
	}
	e, err := s.findJob(ctx, id)
	if err == nil && e.VisibleState() == workload.Running {
		e = s.awaitEnd(ctx, id, e)
	}
	return e.VisibleState(), err
}

// findJob returns a job's entry. A job that is not known here may just have been accepted by
// another instance, so the log is read to its end before not-found is returned.
func (s *Service) findJob(ctx context.Context, id workload.JobID) (workload.Entry, error) {
	if e, known := s.book.Get(id); known {
		return e, nil
	}
	if err := s.catchUpForJob(ctx, id); err != nil {
		return workload.Entry{}, err
	}
	if e, known := s.book.Get(id); known {
		return e, nil
	}
	return workload.Entry{}, domain.Refuse(domain.ReasonNotFound, "id", "no such job", "check the id")
}

// Cancel cancels a job permanently.
func (s *Service) Cancel(ctx context.Context, id workload.JobID) error {
	e, err := s.findJob(ctx, id)
	if err != nil {
		return s.withRetryAfter(ctx, id, err)
	}
	if e.Cancelled || e.State.IsFinal() {
		return nil
	}
	record := control.Record{Key: workload.CancelledKey(id), Value: []byte("{}")}
	if err := s.commit(ctx, id, record); err != nil {
		return s.refuse(ctx, id, logErrorRefusal(err))
	}
	s.applyJobRecord(Entry{Key: record.Key, Value: record.Value})
	s.events.Info(events.JobCancelled, events.Fields{"job": id})
	return nil
}

// Pending returns the number of accepted jobs of a queue that have not started.
func (s *Service) Pending(ctx context.Context, queue string) (int, error) {
	if err := s.CheckCurrent(); err != nil {
		return 0, s.withRetryAfter(ctx, "", err)
	}
	return s.book.Pending(queue), nil
}
