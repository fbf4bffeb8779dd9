package instance

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/cobalttide/cobalttide/configuration"
	"github.com/cobalttide/cobalttide/membership"
	"github.com/cobalttide/cobalttide/port"
	"github.com/cobalttide/cobalttide/state"
)

// Snapshots are written again well before the log's retention ends: after so
// many records, or after so much time when there were any.
const (
	snapshotRecords = 2000
	snapshotEvery   = 10 * time.Minute
	snapshotLook    = 5 * time.Second
	snapshotTimeout = 30 * time.Second
)

// written is what the last snapshot of a stream stood for.
type written struct {
	offset int64
	at     time.Time
}

func (w written) due(offset int64, now time.Time) bool {
	if offset == w.offset {
		return false
	}
	return offset-w.offset >= snapshotRecords || now.Sub(w.at) >= snapshotEvery
}

// snapshotLoop writes the data centre's jobs while this instance plans, and the
// configuration while it is the one instance of the deployment whose turn it is.
func (in *Instance) snapshotLoop(ctx context.Context) {
	jobs := written{at: time.Now()}
	configured := written{at: time.Now()}
	for ctx.Err() == nil {
		sleep(ctx, snapshotLook)
		if in.logAway() {
			continue
		}
		now := time.Now()
		if offset := in.jobs.Offset(); in.planning.Load() && jobs.due(offset, now) && in.writeJobs(ctx) {
			jobs = written{offset, now}
		}
		if offset := in.configuration.Current().Offset; in.writesConfiguration() && configured.due(offset, now) && in.writeConfiguration(ctx) {
			configured = written{offset, now}
		}
	}
}

// writesConfiguration tells whether this instance writes the configuration's
// snapshots: it has the highest rendezvous hash of all.
func (in *Instance) writesConfiguration() bool {
	var present []membership.Member
	for _, m := range in.members.all() {
		if m.State == membership.Alive || m.State == membership.Suspect {
			present = append(present, m)
		}
	}
	winner, ok := membership.Rendezvous("configuration", present)
	return ok && winner.ID == in.ID
}

// WriteSnapshots writes both snapshots now and tells whether they are in the log.
func (in *Instance) WriteSnapshots(ctx context.Context) bool {
	return in.writeJobs(ctx) && in.writeConfiguration(ctx)
}

func (in *Instance) snapshotID(offset int64) string { return fmt.Sprintf("%s/%d", in.ID, offset) }

func (in *Instance) writeJobs(ctx context.Context) bool {
	image := in.jobs.Image()
	writeCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	return state.WriteSnapshot(writeCtx, in.platform, state.JobStream(in.Settings.DataCentre), in.snapshotID(image.Offset), image.Offset, image) == nil
}

func (in *Instance) writeConfiguration(ctx context.Context) bool {
	snapshot := in.configuration.Current()
	writeCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	return state.WriteSnapshot(writeCtx, in.platform, state.ConfigurationStream, in.snapshotID(snapshot.Offset), snapshot.Offset, snapshot) == nil
}

// loadJobs takes the newest snapshot of the jobs from the log. An error says
// that the log did not tell whether there is one.
func (in *Instance) loadJobs(ctx context.Context, _ int64) error {
	var image state.Image
	found, err := in.readSnapshot(ctx, state.JobStream(in.Settings.DataCentre), &image)
	if found {
		in.loadImage(image)
	}
	return err
}

// loadConfiguration takes the newest snapshot of the configuration.
func (in *Instance) loadConfiguration(ctx context.Context, _ int64) error {
	var snapshot configuration.Snapshot
	found, err := in.readSnapshot(ctx, state.ConfigurationStream, &snapshot)
	if found && in.configuration.Adopt(snapshot) {
		in.configured(snapshot)
	}
	return err
}

func (in *Instance) readSnapshot(ctx context.Context, of port.Stream, into any) (found bool, err error) {
	readCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	_, err = state.ReadSnapshot(readCtx, in.platform, of, into)
	if errors.Is(err, state.ErrNoSnapshot) {
		in.log.WithError(err).WithFields(logrus.Fields{"stream": of}).Warn("the log has dropped records of which there is no snapshot")
		return false, nil
	}
	return err == nil, err
}
