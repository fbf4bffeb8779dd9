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

// A new snapshot is written well before the log's retention ends: after
// snapshotRecords records, or after snapshotInterval if there were any.
const (
	snapshotRecords      = 2000
	snapshotInterval     = 10 * time.Minute
	snapshotPollInterval = 5 * time.Second
	snapshotTimeout      = 30 * time.Second
)

// lastSnapshot is the offset and time of the last snapshot of a stream.
type lastSnapshot struct {
	offset int64
	at     time.Time
}

// isDue reports whether a snapshot up to offset should be written now.
func (w lastSnapshot) isDue(offset int64, now time.Time) bool {
	if offset == w.offset {
		return false
	}
	return offset-w.offset >= snapshotRecords || now.Sub(w.at) >= snapshotInterval
}

// snapshotLoop writes snapshots of the data centre's jobs while this instance is
// the planner, and of the configuration while this instance is the one chosen for
// that in the whole deployment.
func (in *Instance) snapshotLoop(ctx context.Context) {
	jobs := lastSnapshot{at: time.Now()}
	configured := lastSnapshot{at: time.Now()}
	for ctx.Err() == nil {
		sleep(ctx, snapshotPollInterval)
		if in.logUnreachable() {
			continue
		}
		now := time.Now()
		if offset := in.jobs.Offset(); in.planning.Load() && jobs.isDue(offset, now) && in.writeJobsSnapshot(ctx) {
			jobs = lastSnapshot{offset, now}
		}
		if offset := in.configuration.Current().Offset; in.isConfigurationWriter() && configured.isDue(offset, now) && in.writeConfigurationSnapshot(ctx) {
			configured = lastSnapshot{offset, now}
		}
	}
}

// isConfigurationWriter reports whether this instance writes the snapshots of the
// configuration: it has the highest rendezvous hash of all live instances.
func (in *Instance) isConfigurationWriter() bool {
	var present []membership.Member
	for _, m := range in.members.all() {
		if m.State == membership.Alive || m.State == membership.Suspect {
			present = append(present, m)
		}
	}
	winner, ok := membership.Rendezvous("configuration", present)
	return ok && winner.ID == in.ID
}

// WriteSnapshots writes both snapshots now and reports whether they are in the
// log.
func (in *Instance) WriteSnapshots(ctx context.Context) bool {
	return in.writeJobsSnapshot(ctx) && in.writeConfigurationSnapshot(ctx)
}

func (in *Instance) snapshotID(offset int64) string { return fmt.Sprintf("%s/%d", in.ID, offset) }

func (in *Instance) writeJobsSnapshot(ctx context.Context) bool {
	image := in.jobs.Image()
	writeCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	return state.WriteSnapshot(writeCtx, in.platform, state.JobStream(in.Settings.DataCentre), in.snapshotID(image.Offset), image.Offset, image) == nil
}

func (in *Instance) writeConfigurationSnapshot(ctx context.Context) bool {
	snapshot := in.configuration.Current()
	writeCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	return state.WriteSnapshot(writeCtx, in.platform, state.ConfigurationStream, in.snapshotID(snapshot.Offset), snapshot.Offset, snapshot) == nil
}

// loadJobsSnapshot loads the newest snapshot of the jobs from the log. It returns
// an error if it could not find out whether there is one.
func (in *Instance) loadJobsSnapshot(ctx context.Context, _ int64) error {
	var image state.Image
	found, err := in.readSnapshot(ctx, state.JobStream(in.Settings.DataCentre), &image)
	if found {
		in.loadImage(image)
	}
	return err
}

// loadConfigurationSnapshot loads the newest snapshot of the configuration from
// the log.
func (in *Instance) loadConfigurationSnapshot(ctx context.Context, _ int64) error {
	var snapshot configuration.Snapshot
	found, err := in.readSnapshot(ctx, state.ConfigurationStream, &snapshot)
	if found && in.configuration.Adopt(snapshot) {
		in.reportConfiguration(snapshot)
	}
	return err
}

func (in *Instance) readSnapshot(ctx context.Context, stream port.Stream, into any) (found bool, err error) {
	readCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	_, err = state.ReadSnapshot(readCtx, in.platform, stream, into)
	if errors.Is(err, state.ErrNoSnapshot) {
		in.log.WithError(err).WithFields(logrus.Fields{"stream": stream}).Warn("the log has dropped records that no readable snapshot covers")
		return false, nil
	}
	return err == nil, err
}
