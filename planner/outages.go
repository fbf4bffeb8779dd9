package planner

import (
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/planner/gang"
)

// Workers that restart together have a common cause: a rack, a link or a power feed. Such
// a restart is excluded from the evidence against a job whose attempt ends with it, which
// would otherwise be ended where many workers crash several times.

const (
	// In an outage at least one in outageDivisor of all workers restart together, and at
	// least outageMinWorkers: several jobs may crash their workers at the same moment.
	outageDivisor    = 8
	outageMinWorkers = 6
	// outageWindowPolls is the longest time, in polls, between the restarts of one outage.
	outageWindowPolls = 2
	// rebootRetention is how long restarts are remembered.
	rebootRetention = 5 * time.Minute
)

// reboot is a worker's restart and the time at which it was noticed.
type reboot struct {
	worker domain.WorkerID
	seenAt time.Time
}

// crashedAttempt is an attempt that ended with the crash of one of its workers.
type crashedAttempt struct {
	endedAt time.Time
	workers []domain.WorkerID
}

func (c *Core) recordReboot(worker domain.WorkerID, at time.Time) {
	c.reboots = append(c.reboots, reboot{worker, at})
	c.reboots = slices.DeleteFunc(c.reboots, func(r reboot) bool { return at.Sub(r.seenAt) > rebootRetention })
}

// inOutage reports whether many workers that were not part of an attempt restarted when it
// ended.
func (c *Core) inOutage(a crashedAttempt) bool {
	others := map[domain.WorkerID]bool{}
	for _, r := range c.reboots {
		if r.seenAt.Sub(a.endedAt).Abs() <= outageWindowPolls*c.options.Poll && !slices.Contains(a.workers, r.worker) {
			others[r.worker] = true
		}
	}
	return len(others) >= max(outageMinWorkers, len(c.listed)/outageDivisor)
}

// exceedsCrashLimit reports whether a job whose attempt has ended with a worker's crash is
// to be ended. Restarts that are noticed after an attempt has ended count as well, so all
// attempts are evaluated again; those of earlier planners count as the log has them.
func (c *Core) exceedsCrashLimit(m *gang.Machine, before int, now time.Time) bool {
	local := c.localOf(m.Job.ID)
	local.crashedAttempts = append(local.crashedAttempts, crashedAttempt{endedAt: now, workers: m.Workers()})
	excluded := 0
	for _, a := range local.crashedAttempts {
		if c.inOutage(a) {
			excluded++
		}
	}
	total := before + 1
	return total-excluded >= c.options.MaxCrashes || total >= 2*c.options.MaxCrashes
}
