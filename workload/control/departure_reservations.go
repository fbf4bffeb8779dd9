package control

import (
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// reservation is a unit whose members are being stopped because of a departure. The capacity for its
// next run is kept free of units behind it in the order. It begins with the stop: runs that count as
// being freed can't be preempted, so before the stop a unit of a higher rank would wait for it.
type reservation struct {
	key  departureKey
	job  *job
	runs []*activeRun
	// until is when the members' stops must have ended. If a worker falls silent, the next run has to
	// wait for its lease, and capacity kept for so long would be idle.
	until time.Time
}

// keepReservations drops the reservations of members that have ended, and those that have expired.
func (c *Core) keepReservations(now time.Time) {
	var kept []reservation
	for _, res := range c.departures.reserved {
		var runs []*activeRun
		for _, r := range res.runs {
			if r.stopping && c.runs[r.id] == r && now.Before(res.until) {
				runs = append(runs, r)
			}
		}
		if len(runs) > 0 {
			res.runs = runs
			kept = append(kept, res)
		}
	}
	c.departures.reserved = kept
}

// reserveNextRun reserves capacity for the next run of a unit that is being stopped.
func (c *Core) reserveNextRun(members []*activeRun, now time.Time) {
	if !c.departures.canReserve || members[0].step.Perpetual {
		return
	}
	key := members[0].departureKey()
	for _, res := range c.departures.reserved {
		if res.key == key {
			return
		}
	}
	until := now.Add(2 * (c.bounds.StopTimeout + stopMargin))
	c.departures.reserved = append(c.departures.reserved, reservation{key, members[0].job, members, until})
}

// addReservations adds the units for whose next runs capacity is reserved.
func (c *Core) addReservations(s *decide.Snapshot, guaranteed map[workload.JobID]bool, now time.Time, wallMS int64) {
	for _, res := range c.departures.reserved {
		j := res.job
		if j.cancelled || j.progress.State.IsFinal() {
			continue
		}
		u := decide.Unit{Key: res.key.unit, Account: j.Account, Step: &j.Steps[res.key.unit.Step], Guaranteed: guaranteed[j.ID], Departing: true, ReadySince: now}
		for _, r := range res.runs {
			u.Indexes = append(u.Indexes, r.id.Index)
		}
		if u.Step.Gang {
			u.Indexes = allIndexes(u.Step.Count)
		}
		for _, o := range j.progress.Open {
			if o.Number == res.key.unit.Occurrence {
				c.describeTerms(&u, j, o, now, wallMS)
				u.Placed = placedBesideStopping(&u, j)
				c.avoidFailedWorkers(&u, j)
				for _, part := range c.splitSuspects(u, j, o.Steps[u.Key.Step], now) {
					c.avoidUnstableWorkers(&part, now)
					s.Waiting = append(s.Waiting, part)
				}
			}
		}
	}
}

// placedBesideStopping returns the number of the step's runs on each worker, without those that are
// being stopped; nil if the step doesn't limit them.
func placedBesideStopping(u *decide.Unit, j *job) map[string]int {
	if u.Step.PerWorker == 0 {
		return nil
	}
	placed := map[string]int{}
	for _, r := range j.runsOf(u.Key) {
		if !r.stopping {
			placed[r.worker.ID]++
		}
	}
	return placed
}

func allIndexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}
