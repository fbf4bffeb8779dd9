package instance

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/cobalttide/cobalttide/configuration"
	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/planner"
	"github.com/cobalttide/cobalttide/port"
	"github.com/cobalttide/cobalttide/state"
)

// Durability says where an accepted record is safe.
type Durability string

// The durabilities that callers are told.
const (
	// InLog: the platform's log has it.
	InLog Durability = "log"
	// InMemory: the log is away; copies are in the memory of this and other
	// instances, and go into the log when it is back.
	InMemory Durability = "memory"
)

// Bounds of the holdover.
const (
	// logPatience is how long a record waits for the log before copies go to
	// peers.
	logPatience = time.Second
	// minCopies is how many instances hold a record before it is accepted, this
	// one included.
	minCopies = 2
	// copiesElsewhere is how many instances of other data centres hold a record,
	// in case the data centre is lost; docs/CAPACITY.md works out what two buy.
	copiesElsewhere = 2
	// maxHeld bounds the records that one instance holds.
	maxHeld = 50_000
	// heldEvery is the interval at which held records are offered to the log,
	// heldPatience the time that its first holder has to do so alone.
	heldEvery    = 2 * time.Second
	heldPatience = 6 * time.Second
	// logAwayAfter is the time without a successful read after which the log
	// counts as away. An empty read waits for up to readWait.
	logAwayAfter = 4 * time.Second
)

type heldRecord struct {
	stream  port.Stream
	record  port.Record
	since   time.Time
	offered bool
}

// heldRecords are records that wait for the log to come back. It is a buffer:
// nothing is looked up in it.
type heldRecords struct {
	mu      sync.Mutex
	records map[string]*heldRecord
}

func newHeldRecords() *heldRecords { return &heldRecords{records: map[string]*heldRecord{}} }

func (h *heldRecords) add(stream port.Stream, record port.Record, offered bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known := h.records[record.ID]; known {
		return true
	}
	if len(h.records) >= maxHeld {
		return false
	}
	h.records[record.ID] = &heldRecord{stream: stream, record: record, since: time.Now(), offered: offered}
	return true
}

func (h *heldRecords) seen(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.records, id)
}

func (h *heldRecords) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.records)
}

// all returns the records in the order in which they came.
func (h *heldRecords) all() []hold {
	h.mu.Lock()
	defer h.mu.Unlock()
	records := slices.SortedFunc(maps.Values(h.records), func(a, b *heldRecord) int { return a.since.Compare(b.since) })
	out := make([]hold, 0, len(records))
	for _, r := range records {
		out = append(out, hold{Stream: r.stream, Record: r.record})
	}
	return out
}

// of returns the records of one stream.
func (h *heldRecords) of(stream port.Stream) []port.Record {
	var out []port.Record
	for _, held := range h.all() {
		if held.Stream == stream {
			out = append(out, held.Record)
		}
	}
	return out
}

// due returns records that their first holder has not got into the log in time.
func (h *heldRecords) due(now time.Time) []heldRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []heldRecord
	for _, r := range h.records {
		if !r.offered && now.Sub(r.since) > heldPatience {
			r.offered = true
			out = append(out, *r)
		}
	}
	return out
}

// hold is a record on its way to a peer's memory.
type hold struct {
	Stream port.Stream `json:"stream"`
	Record port.Record `json:"record"`
}

// spread copies a record to peers and returns how many instances have it, and
// whether some may have it whose answer was lost. All
// of the data centre get it, because any of them may have to plan, and some
// elsewhere.
func (in *Instance) spread(ctx context.Context, stream port.Stream, record port.Record) (copies int, unsure bool) {
	if !in.held.add(stream, record, true) {
		return 0, false
	}
	copies = 1
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, address := range in.holders() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			var ok bool
			err := in.peers.Call(callCtx, address, methodHold, hold{stream, record}, &ok)
			mu.Lock()
			defer mu.Unlock()
			unsure = unsure || err != nil
			if ok {
				copies++
			}
		}()
	}
	wg.Wait()
	return copies, unsure
}

func (in *Instance) holders() []string {
	var out []string
	elsewhere := 0
	for _, m := range in.members.all() {
		if m.ID == in.ID || m.State == "dead" || m.State == "left" {
			continue
		}
		home := m.DataCentre == in.Settings.DataCentre
		if home || elsewhere < copiesElsewhere {
			out = append(out, m.Address)
		}
		if !home {
			elsewhere++
		}
	}
	return out
}

// foldHeld makes a record count here although the log does not have it yet.
func (in *Instance) foldHeld(stream port.Stream, record port.Record) {
	if stream != state.JobStream(in.Settings.DataCentre) {
		return
	}
	if err := in.jobs.Fold(record); err != nil {
		in.log.WithError(err).Warn("a held record was passed over")
	}
}

// heldLoop offers records to the log whose first holder may be gone.
func (in *Instance) heldLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, heldEvery)
		in.Metrics.held.Set(float64(in.held.count()))
		if in.logAway() {
			continue
		}
		for _, r := range in.held.due(time.Now()) {
			done, err := in.journal.Keep(r.stream, r.record)
			if err != nil {
				return // the journal is closed: the instance ends
			}
			in.spawn(ctx, func(ctx context.Context) { in.dropOnceDone(ctx, r.record.ID, done) })
		}
	}
}

// dropOnceDone lets go of a record that is in the log. Records of other data
// centres are not read here, so that seeing them can't be waited for.
func (in *Instance) dropOnceDone(ctx context.Context, id string, done <-chan struct{}) {
	select {
	case <-done:
		in.held.seen(id)
	case <-ctx.Done():
	}
}

// publish accepts a record for good: in the log, or in the memory of enough
// instances. The error is a refusal that says whether the record may still
// appear.
func (in *Instance) publish(ctx context.Context, record port.Record) (Durability, error) {
	stream := state.JobStream(in.Settings.DataCentre)
	appendCtx, cancel := context.WithTimeout(ctx, logPatience)
	defer cancel()
	_, err := in.journal.Append(appendCtx, stream, record)
	if err == nil {
		return InLog, nil
	}
	copies, unsure := in.spread(ctx, stream, record)
	if copies >= minCopies {
		if _, keepErr := in.journal.Keep(stream, record); keepErr == nil {
			in.foldHeld(stream, record)
			return InMemory, nil
		}
	}
	in.held.seen(record.ID)
	if errors.Is(err, state.ErrNotSent) && copies <= 1 && !unsure {
		return "", domain.Refuse(domain.ReasonLogUnavailable, "", "the log is away and no other instance could hold a copy",
			"repeat it with the same id").After(logPatience)
	}
	refusal := domain.OutcomeUnknown(domain.ReasonLogUnavailable, "the log did not say whether it has the record")
	refusal.Remedy = "repeat it with the same id: it is accepted at most once"
	return "", refusal.After(logPatience)
}

// Keep implements planner.Publisher.
func (in *Instance) Keep(e planner.Emission) {
	record, err := state.NewRecord(e.ID, e.Kind, e.Payload)
	if err != nil {
		in.log.WithError(err).Error("a planner's record could not be encoded")
		return
	}
	stream := state.JobStream(in.Settings.DataCentre)
	done, err := in.journal.Keep(stream, record)
	if err != nil {
		return // the instance ends; the next planner finds out from the workers
	}
	go func() {
		select {
		case <-done:
			return
		case <-time.After(logPatience):
		}
		// Workers forget a gang once its job's end counts here. In one memory alone
		// the end would be lost with this instance.
		if copies, _ := in.spread(context.Background(), stream, record); copies >= minCopies {
			in.foldHeld(stream, record)
		}
	}()
}

// Record implements planner.Publisher.
func (in *Instance) Record(ctx context.Context, e planner.Emission) bool {
	record, err := state.NewRecord(e.ID, e.Kind, e.Payload)
	if err != nil {
		return false
	}
	recordCtx, cancel := context.WithTimeout(ctx, 2*logPatience)
	defer cancel()
	offset, err := in.journal.Append(recordCtx, state.JobStream(in.Settings.DataCentre), record)
	if err != nil {
		return false
	}
	for in.jobs.Offset() <= offset {
		select {
		case <-time.After(recordPoll):
		case <-recordCtx.Done():
			return false
		}
	}
	return in.jobs.MayRun(*e.Await)
}

// recordPoll is the pause between two looks at how far the log has been read.
const recordPoll = 5 * time.Millisecond

// logAway tells whether the log can't be read at the moment.
func (in *Instance) logAway() bool {
	age := in.followers[state.JobStream(in.Settings.DataCentre)].SinceLastRead()
	return age < 0 || age > logAwayAfter
}

// hasReadAll tells whether a job that is not known here is not in the log
// either.
func (in *Instance) hasReadAll() bool { return in.recovered.Load() && !in.logAway() }

func (in *Instance) applyConfiguration(e port.Entry) {
	if e.Record.Kind != configuration.KindChange {
		return
	}
	before := in.configuration.Current().Version
	in.configuration.FoldEntry(e)
	if after := in.configuration.Current(); after.Version != before {
		in.configured(after)
	}
}

func (in *Instance) configured(snapshot configuration.Snapshot) {
	in.Metrics.version.Set(float64(snapshot.Version))
	in.log.WithFields(logrus.Fields{"version": snapshot.Version, "change": snapshot.LastChange}).Info("configuration in force")
}

func (in *Instance) applyJob(e port.Entry) {
	if err := in.jobs.FoldEntry(e); err != nil {
		in.log.WithError(err).Warn("a record was passed over")
	}
	in.held.seen(e.Record.ID)
}

func (in *Instance) applyAttempt(e port.Entry) {
	if err := in.ledger.FoldEntry(e); err != nil {
		in.log.WithError(err).Warn("a record was passed over")
	}
}

// recoverThenFollow loads the state from peers and follows the log from there.
// Callers are served meanwhile; the planner's role waits.
func (in *Instance) recoverThenFollow(ctx context.Context) {
	for _, f := range in.followers {
		in.spawn(ctx, f.Run)
	}
	in.list(ctx)
	in.awaitLog(ctx, in.recoverFromPeers(ctx))
	in.recovered.Store(ctx.Err() == nil)
}

// recoveryPatience bounds the wait for a log that is away before an instance
// takes part with what it has from peers.
const recoveryPatience = 5 * time.Second

// awaitLog waits until the jobs and the configuration have been read to their
// end. A part of them shows jobs as waiting whose end stands further on, and
// jobs of classes that are declared further on. Without the log an instance
// takes part with the state and the configuration that a peer has told which has
// recovered, or with no jobs.
func (in *Instance) awaitLog(ctx context.Context, told *configuration.Snapshot) {
	end := time.Now().Add(recoveryPatience)
	jobs := in.followers[state.JobStream(in.Settings.DataCentre)]
	declared := in.followers[state.ConfigurationStream]
	for ctx.Err() == nil && !(jobs.CaughtUp() && declared.CaughtUp()) {
		whole := told != nil || in.jobs.Offset() == 0 && declared.CaughtUp()
		if whole && in.logAway() && time.Now().After(end) {
			in.adoptConfiguration(told)
			return
		}
		sleep(ctx, 10*time.Millisecond)
	}
}

// adoptConfiguration takes a peer's configuration if it is newer; nil is none.
func (in *Instance) adoptConfiguration(told *configuration.Snapshot) {
	if told != nil && in.configuration.Adopt(*told) {
		in.configured(*told)
	}
}

// recoverFromPeers takes the newest image that a peer of the data centre has,
// and what any of them holds for the log: a peer that has just started may know
// less than others. It returns the newest configuration of those that have
// recovered themselves, nil if there is none. With the log it is read there, so
// that the outcome of each change is known.
func (in *Instance) recoverFromPeers(ctx context.Context) (told *configuration.Snapshot) {
	var images []state.Image
	for _, answer := range in.askForState(ctx) {
		if answer.Recovered && (told == nil || answer.Configuration.Version > told.Version) {
			told = &answer.Configuration
		}
		in.draining.take(answer.Orders)
		for _, h := range answer.Held {
			in.held.add(h.Stream, h.Record, false)
		}
		images = append(images, answer.Image)
	}
	loaded := false
	for _, image := range images {
		loaded = in.loadImage(image) || loaded
	}
	for _, h := range in.held.all() {
		in.foldHeld(h.Stream, h.Record)
	}
	in.log.WithFields(logrus.Fields{"answers": len(images), "loaded": loaded, "held": in.held.count()}).Info("peers asked for the state")
	return told
}

// askForState asks all peers of the data centre at once.
func (in *Instance) askForState(ctx context.Context) []recovered {
	callCtx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var out []recovered
	for _, m := range in.members.present(in.Settings.DataCentre) {
		if m.ID == in.ID {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			var answer recovered
			if err := in.peers.Call(callCtx, m.Address, methodImage, nil, &answer); err != nil {
				return // the others and the log have it
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, answer)
		}()
	}
	wg.Wait()
	return out
}

// loadImage takes an image that is newer than what is known here. Held records
// are in no image of the log and may be missing in a peer's.
func (in *Instance) loadImage(image state.Image) bool {
	return in.jobs.Load(image, in.held.of(state.JobStream(in.Settings.DataCentre))...)
}
