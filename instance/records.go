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

// Durability is where an accepted record is stored.
type Durability string

// The durabilities that are reported to callers.
const (
	// InLog means that the record is in the platform's log.
	InLog Durability = "log"
	// InMemory means that the log is unreachable: copies are in the memory of this
	// and other instances, and are appended to the log once it is reachable again.
	InMemory Durability = "memory"
)

// Parameters of holding records in memory while the log is unreachable.
const (
	// logTimeout is how long an append may take before copies of the record are
	// sent to peers.
	logTimeout = time.Second
	// minCopies is the number of instances, this one included, that must have a
	// copy of a record before it is accepted without the log.
	minCopies = 2
	// remoteCopies is the number of instances of other data centres that get a
	// copy, in case the data centre is lost; docs/CAPACITY.md derives the effect
	// of two.
	remoteCopies = 2
	// maxHeldRecords bounds the records that one instance holds in memory.
	maxHeldRecords = 50_000
	// heldCheckInterval is the interval at which held records of other instances
	// are checked. They are appended after heldTakeoverDelay, until which this is
	// left to the instance that accepted the record.
	heldCheckInterval = 2 * time.Second
	heldTakeoverDelay = 6 * time.Second
	// logUnreachableAfter is the time without a successful read after which the log
	// is considered unreachable. An empty read waits for up to readWait.
	logUnreachableAfter = 4 * time.Second
)

// heldRecord is a record that is held in memory. queued is set if this instance
// appends it to the log itself.
type heldRecord struct {
	stream  port.Stream
	record  port.Record
	addedAt time.Time
	queued  bool
}

// heldRecords buffers the records that are held in memory until they are in the
// log. It is not used for queries.
type heldRecords struct {
	mu      sync.Mutex
	records map[string]*heldRecord
}

func newHeldRecords() *heldRecords { return &heldRecords{records: map[string]*heldRecord{}} }

func (h *heldRecords) add(stream port.Stream, record port.Record, queued bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known := h.records[record.ID]; known {
		return true
	}
	if len(h.records) >= maxHeldRecords {
		return false
	}
	h.records[record.ID] = &heldRecord{stream: stream, record: record, addedAt: time.Now(), queued: queued}
	return true
}

func (h *heldRecords) remove(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.records, id)
}

func (h *heldRecords) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.records)
}

// all returns the records in order of arrival.
func (h *heldRecords) all() []recordCopy {
	h.mu.Lock()
	defer h.mu.Unlock()
	records := slices.SortedFunc(maps.Values(h.records), func(a, b *heldRecord) int { return a.addedAt.Compare(b.addedAt) })
	out := make([]recordCopy, 0, len(records))
	for _, r := range records {
		out = append(out, recordCopy{Stream: r.stream, Record: r.record})
	}
	return out
}

// forStream returns the records of one stream in order of arrival.
func (h *heldRecords) forStream(stream port.Stream) []port.Record {
	var out []port.Record
	for _, held := range h.all() {
		if held.Stream == stream {
			out = append(out, held.Record)
		}
	}
	return out
}

// takeOverdue returns the records that the accepting instance has not got into
// the log within heldTakeoverDelay, and marks them as queued.
func (h *heldRecords) takeOverdue(now time.Time) []heldRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []heldRecord
	for _, r := range h.records {
		if !r.queued && now.Sub(r.addedAt) > heldTakeoverDelay {
			r.queued = true
			out = append(out, *r)
		}
	}
	return out
}

// recordCopy is a copy of a record that is sent to a peer.
type recordCopy struct {
	Stream port.Stream `json:"stream"`
	Record port.Record `json:"record"`
}

// replicate sends a record to peers. It returns how many instances have a copy,
// and whether others may have one because their answer was lost. All live
// instances of the data centre get it, because each may become the planner, and
// remoteCopies instances of other data centres.
func (in *Instance) replicate(ctx context.Context, stream port.Stream, record port.Record) (copies int, uncertain bool) {
	if !in.held.add(stream, record, true) {
		return 0, false
	}
	copies = 1
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, address := range in.replicaAddresses() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			var ok bool
			err := in.peers.Call(callCtx, address, methodStoreCopy, recordCopy{stream, record}, &ok)
			mu.Lock()
			defer mu.Unlock()
			uncertain = uncertain || err != nil
			if ok {
				copies++
			}
		}()
	}
	wg.Wait()
	return copies, uncertain
}

func (in *Instance) replicaAddresses() []string {
	var out []string
	remote := 0
	for _, m := range in.members.all() {
		if m.ID == in.ID || m.State == "dead" || m.State == "left" {
			continue
		}
		local := m.DataCentre == in.Settings.DataCentre
		if local || remote < remoteCopies {
			out = append(out, m.Address)
		}
		if !local {
			remote++
		}
	}
	return out
}

// foldHeld folds a held record that is not in the log yet, so that it takes
// effect on this instance.
func (in *Instance) foldHeld(stream port.Stream, record port.Record) {
	if stream != state.JobStream(in.Settings.DataCentre) {
		return
	}
	if err := in.jobs.Fold(record); err != nil {
		in.log.WithError(err).Warn("skipped an unreadable held record")
	}
}

// heldLoop appends held records that their accepting instance has not got into the
// log in time, because it may be gone.
func (in *Instance) heldLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, heldCheckInterval)
		in.Metrics.held.Set(float64(in.held.count()))
		if in.logUnreachable() {
			continue
		}
		for _, r := range in.held.takeOverdue(time.Now()) {
			done, err := in.journal.AppendWithRetry(r.stream, r.record)
			if err != nil {
				return // the journal is closed: the instance is stopping
			}
			in.spawn(ctx, func(ctx context.Context) { in.dropOnceAppended(ctx, r.record.ID, done) })
		}
	}
}

// dropOnceAppended releases a held record once its append has completed. Records
// of other data centres are not read by this instance, so reading them back can't
// release them.
func (in *Instance) dropOnceAppended(ctx context.Context, id string, appended <-chan struct{}) {
	select {
	case <-appended:
		in.held.remove(id)
	case <-ctx.Done():
	}
}

// persist stores a record in the log, or in the memory of at least minCopies
// instances. The error is a refusal whose outcome says whether the record may
// still take effect.
func (in *Instance) persist(ctx context.Context, record port.Record) (Durability, error) {
	stream := state.JobStream(in.Settings.DataCentre)
	appendCtx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	_, err := in.journal.Append(appendCtx, stream, record)
	if err == nil {
		return InLog, nil
	}
	copies, uncertain := in.replicate(ctx, stream, record)
	if copies >= minCopies {
		if _, keepErr := in.journal.AppendWithRetry(stream, record); keepErr == nil {
			in.foldHeld(stream, record)
			return InMemory, nil
		}
	}
	in.held.remove(record.ID)
	if errors.Is(err, state.ErrNotSent) && copies <= 1 && !uncertain {
		return "", domain.Refuse(domain.ReasonLogUnavailable, "", "the log is unreachable and no other instance could store a copy",
			"repeat the call with the same id").WithRetryAfter(logTimeout)
	}
	refusal := domain.OutcomeUnknown(domain.ReasonLogUnavailable, "the log did not confirm whether it has the record")
	refusal.Remedy = "repeat the call with the same id: it takes effect at most once"
	return "", refusal.WithRetryAfter(logTimeout)
}

// AppendWithRetry implements planner.Publisher.
func (in *Instance) AppendWithRetry(e planner.Emission) {
	record, err := state.NewRecord(e.ID, e.Kind, e.Payload)
	if err != nil {
		in.log.WithError(err).Error("cannot encode a record of the planner")
		return
	}
	stream := state.JobStream(in.Settings.DataCentre)
	done, err := in.journal.AppendWithRetry(stream, record)
	if err != nil {
		return // the instance is stopping; the next planner asks the workers
	}
	go func() {
		select {
		case <-done:
			return
		case <-time.After(logTimeout):
		}
		// Workers drop a gang once its job's end is folded here. Without enough
		// copies the end would be lost with this instance.
		if copies, _ := in.replicate(context.Background(), stream, record); copies >= minCopies {
			in.foldHeld(stream, record)
		}
	}()
}

// AppendAndConfirm implements planner.Publisher.
func (in *Instance) AppendAndConfirm(ctx context.Context, e planner.Emission) bool {
	record, err := state.NewRecord(e.ID, e.Kind, e.Payload)
	if err != nil {
		return false
	}
	recordCtx, cancel := context.WithTimeout(ctx, 2*logTimeout)
	defer cancel()
	offset, err := in.journal.Append(recordCtx, state.JobStream(in.Settings.DataCentre), record)
	if err != nil {
		return false
	}
	for in.jobs.Offset() <= offset {
		select {
		case <-time.After(foldPollInterval):
		case <-recordCtx.Done():
			return false
		}
	}
	return in.jobs.MayRun(*e.Await)
}

// foldPollInterval is the interval at which a call polls whether its record has
// been read back from the log and folded.
const foldPollInterval = 5 * time.Millisecond

// logUnreachable reports whether the log has not been read successfully for more
// than logUnreachableAfter, or never.
func (in *Instance) logUnreachable() bool {
	age := in.followers[state.JobStream(in.Settings.DataCentre)].SinceLastRead()
	return age < 0 || age > logUnreachableAfter
}

// hasReadAllJobs reports whether a job that is unknown to this instance is not in
// the log either.
func (in *Instance) hasReadAllJobs() bool { return in.recovered.Load() && !in.logUnreachable() }

func (in *Instance) applyConfiguration(e port.Entry) {
	if e.Record.Kind != configuration.KindChange {
		return
	}
	before := in.configuration.Current().Version
	in.configuration.FoldEntry(e)
	if after := in.configuration.Current(); after.Version != before {
		in.reportConfiguration(after)
	}
}

func (in *Instance) reportConfiguration(snapshot configuration.Snapshot) {
	in.Metrics.version.Set(float64(snapshot.Version))
	in.log.WithFields(logrus.Fields{"version": snapshot.Version, "change": snapshot.LastChange}).Info("configuration in force")
}

func (in *Instance) applyJob(e port.Entry) {
	if err := in.jobs.FoldEntry(e); err != nil {
		in.log.WithError(err).Warn("skipped an unreadable record")
	}
	in.held.remove(e.Record.ID)
}

func (in *Instance) applyAttempt(e port.Entry) {
	if err := in.ledger.FoldEntry(e); err != nil {
		in.log.WithError(err).Warn("skipped an unreadable record")
	}
}

// recoverState follows the log and loads the state from peers. Callers are served
// meanwhile, but the instance does not plan before it has recovered.
func (in *Instance) recoverState(ctx context.Context) {
	for _, f := range in.followers {
		in.spawn(ctx, f.Run)
	}
	in.refreshInventory(ctx)
	in.waitForLog(ctx, in.recoverFromPeers(ctx))
	in.recovered.Store(ctx.Err() == nil)
}

// recoveryTimeout bounds the wait for an unreachable log, after which an instance
// can start with the state from its peers.
const recoveryTimeout = 5 * time.Second

// waitForLog waits until the streams of the jobs and of the configuration have
// been read to their end. Before that, a job may seem to wait although a later
// record ends it, or have a class that a later record declares. If the log stays
// unreachable, the instance starts with the state and configuration of a peer
// that has recovered, or without any jobs.
func (in *Instance) waitForLog(ctx context.Context, fromPeer *configuration.Snapshot) {
	end := time.Now().Add(recoveryTimeout)
	jobs := in.followers[state.JobStream(in.Settings.DataCentre)]
	declared := in.followers[state.ConfigurationStream]
	for ctx.Err() == nil && !(jobs.CaughtUp() && declared.CaughtUp()) {
		complete := fromPeer != nil || in.jobs.Offset() == 0 && declared.CaughtUp()
		if complete && in.logUnreachable() && time.Now().After(end) {
			in.adoptConfiguration(fromPeer)
			return
		}
		sleep(ctx, 10*time.Millisecond)
	}
}

// adoptConfiguration adopts a peer's configuration, which may be nil, if it is
// newer.
func (in *Instance) adoptConfiguration(fromPeer *configuration.Snapshot) {
	if fromPeer != nil && in.configuration.Adopt(*fromPeer) {
		in.reportConfiguration(*fromPeer)
	}
}

// recoverFromPeers loads the newest image among the data centre's peers, and the
// held records of all of them, because a peer that has just started may have
// fewer than others. It returns the newest configuration among the peers that
// have recovered, or nil. The caller adopts it only if the log is unreachable:
// reading the log also gives the outcome of each change.
func (in *Instance) recoverFromPeers(ctx context.Context) (newest *configuration.Snapshot) {
	var images []state.Image
	for _, answer := range in.fetchPeerStates(ctx) {
		if answer.Recovered && (newest == nil || answer.Configuration.Version > newest.Version) {
			newest = &answer.Configuration
		}
		in.orders.merge(answer.Orders)
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
	in.log.WithFields(logrus.Fields{"answers": len(images), "loaded": loaded, "held": in.held.count()}).Info("state fetched from peers")
	return newest
}

// fetchPeerStates fetches the state of all live peers of the data centre
// concurrently.
func (in *Instance) fetchPeerStates(ctx context.Context) []peerState {
	callCtx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var out []peerState
	for _, m := range in.members.live(in.Settings.DataCentre) {
		if m.ID == in.ID {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			var answer peerState
			if err := in.peers.Call(callCtx, m.Address, methodImage, nil, &answer); err != nil {
				return // other peers and the log have the state too
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, answer)
		}()
	}
	wg.Wait()
	return out
}

// loadImage loads an image if it is newer than the state of this instance, and
// folds the held records on top: they are not in the log, and may be missing in
// a peer's image.
func (in *Instance) loadImage(image state.Image) bool {
	return in.jobs.Load(image, in.held.forStream(state.JobStream(in.Settings.DataCentre))...)
}
