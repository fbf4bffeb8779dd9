package planner

import (
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/planner/gang"
)

// Workers that restart together have one cause: a rack, a link or a power feed. The end of an
// attempt with one of them is no evidence against its job, which would otherwise be ended where
// many workers crash several times.

const (
	// outageShare is the part of all workers that restart together in an outage, outageLeast how
	// many they are at the least: several jobs may crash their workers in one moment.
	outageShare = 8
	outageLeast = 6
	// outagePolls is how many polls apart the restarts of one outage are noticed at the most.
	outagePolls = 2
	// crashesKept is for how long restarts are remembered.
	crashesKept = 5 * time.Minute
)

// reboot is a worker's restart, and when it was noticed.
type reboot struct {
	worker domain.WorkerID
	at     time.Time
}

// crashedAttempt is one that ended with the crash of one of its workers.
type crashedAttempt struct {
	at      time.Time
	workers []domain.WorkerID
}

func (c *Core) noteReboot(worker domain.WorkerID, at time.Time) {
	c.reboots = append(c.reboots, reboot{worker, at})
	c.reboots = slices.DeleteFunc(c.reboots, func(r reboot) bool { return at.Sub(r.at) > crashesKept })
}

// inOutage tells whether many workers without a part in an attempt restarted when it ended.
func (c *Core) inOutage(a crashedAttempt) bool {
	others := map[domain.WorkerID]bool{}
	for _, r := range c.reboots {
		if r.at.Sub(a.at).Abs() <= outagePolls*c.options.Poll && !slices.Contains(a.workers, r.worker) {
			others[r.worker] = true
		}
	}
	return len(others) >= max(outageLeast, len(c.order)/outageShare)
}

// crashesTooOften tells whether a job whose attempt has ended with a worker's crash is to be ended.
// Restarts that are noticed after an attempt has ended count too, so all of them are weighed again;
// an earlier planner's attempts count as they stand in the log.
func (c *Core) crashesTooOften(m *gang.Machine, before int, now time.Time) bool {
	local := c.localOf(m.Job.ID)
	local.crashed = append(local.crashed, crashedAttempt{at: now, workers: m.Workers()})
	excluded := 0
	for _, a := range local.crashed {
		if c.inOutage(a) {
			excluded++
		}
	}
	all := before + 1
	return all-excluded >= c.options.MaxCrashes || all >= 2*c.options.MaxCrashes
}
