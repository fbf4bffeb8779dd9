package report

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cobalttide/cobalttide/events"
)

// lateWindow is the length of the windows by which late jobs are counted.
const lateWindow = 2 * time.Second

// LateJobs counts the completed jobs that were not in time by cause: in all, and by the window of
// the caller's first submission, by queue and by account.
type LateJobs struct {
	Causes                       map[string]int
	ByWindow, ByQueue, ByAccount []LateGroup
}

// LateGroup counts the late jobs of one window, queue or account by cause.
type LateGroup struct {
	Name   string
	Late   int
	Causes map[string]int
}

// Causes of lateness. restarted and startedLate are followed by a reason.
const (
	acceptedLate = "accepted-late"
	startedLate  = "started-late"
	restarted    = "restarted"
	slowMember   = "slow-member"
	reportedLate = "reported-late"
	unknownCause = "unknown"
	// unseen is the reason of a late start where the planner had not read the job.
	unseen = "unseen"
	// notLogged is the reason of a restart of which no line tells.
	notLogged = "not-logged"
)

// delays are the parts of a late job's time that its caller is not owed.
type delays struct {
	// accepting is the time to the acceptance, starting that until the planner saw the job and
	// while its steps waited, by reason.
	accepting time.Duration
	starting  map[string]time.Duration
	// restarting is the time of runs that came to nothing and of waiting to run again, for the
	// reason of the first restart.
	restarting    time.Duration
	restartReason string
	// slow is by how much the runs were longer than on average workers near the data, reporting
	// the time from the end until a caller was told.
	slow, reporting time.Duration
}

// cause returns the cause that accounts for the longest delay. Of equal ones, the first in the order
// of a job's way counts.
func (d delays) cause() string {
	waited, reason, longestWait := time.Duration(0), "", time.Duration(0)
	for _, name := range slices.Sorted(maps.Keys(d.starting)) {
		waited += d.starting[name]
		if d.starting[name] > longestWait {
			reason, longestWait = name, d.starting[name]
		}
	}
	longest, cause := time.Duration(0), unknownCause
	for _, part := range []struct {
		delay time.Duration
		cause string
	}{
		{d.accepting, acceptedLate},
		{waited, startedLate + " " + reason},
		{d.restarting, restarted + " " + cmp.Or(d.restartReason, notLogged)},
		{d.slow, slowMember},
		{d.reporting, reportedLate},
	} {
		if part.delay > longest {
			longest, cause = part.delay, part.cause
		}
	}
	return cause
}

// delays returns the delays of a completed job.
func (j *job) delays() delays {
	seen := j.seen
	if seen.IsZero() {
		seen = j.accepted
	}
	d := delays{
		accepting: j.accepted.Sub(j.arrived), reporting: j.notified.Sub(j.completed), restartReason: j.restartReason,
		starting: map[string]time.Duration{unseen: seen.Sub(j.accepted)},
	}
	waited := time.Duration(0)
	for reason, all := range j.waits {
		d.starting[reason] = all - j.rewaits[reason]
		waited += d.starting[reason]
	}
	d.restarting = j.completed.Sub(seen) - waited - j.worked
	if j.owed > 0 {
		d.slow = j.worked - j.owed
	}
	return d
}

// gangFailed is the reason for which a gang's other members are stopped when one has failed.
const gangFailed = "gang-failed"

// restartReasonOf returns why a line's run has to run again, or "". Runs and gangs that failed by
// themselves are not among them, since the objective allows for them.
func restartReasonOf(event events.Name, why string) string {
	switch event {
	case "run-stopping":
		if why != "job-over" && why != "done-before" && why != gangFailed {
			return why
		}
	case "run-lost":
		return why
	case "run-vanished", "run-never-began":
		return strings.TrimPrefix(string(event), "run-")
	}
	return ""
}

// addRestart records the restart of a step, if the line tells of one.
func (j *job) addRestart(l events.Line, why string) {
	reason := restartReasonOf(l.Event, why)
	if reason == "" {
		return
	}
	j.restartReason = cmp.Or(j.restartReason, reason)
	j.restartedSteps[stepOf(stringField(l, "task"))] = true
}

// stepOf returns the step of a task ID.K.STEP.INDEX or step ID.K.STEP.
func stepOf(task string) string {
	parts := strings.Split(task, ".")
	return strings.Join(parts[:min(3, len(parts))], ".")
}

// lateCounter counts late jobs by window, queue and account.
type lateCounter struct {
	causes                       map[string]int
	byWindow, byQueue, byAccount map[string]map[string]int
}

func newLateCounter() *lateCounter {
	return &lateCounter{causes: map[string]int{}, byWindow: map[string]map[string]int{}, byQueue: map[string]map[string]int{}, byAccount: map[string]map[string]int{}}
}

// add counts a job, whose outcome is that for its caller, in a report that begins at from.
func (c *lateCounter) add(j *job, from time.Time) {
	if j.cancelled || j.failed || j.completed.IsZero() || (j.outcome != "late" && j.outcome != "worthless") {
		return
	}
	cause := j.delays().cause()
	c.causes[cause]++
	window := max(0, j.arrived.Sub(from)).Truncate(lateWindow)
	for _, group := range []struct {
		counts map[string]map[string]int
		name   string
	}{{c.byWindow, fmt.Sprintf("%4.0f s", window.Seconds())}, {c.byQueue, j.queue}, {c.byAccount, j.account}} {
		if group.counts[group.name] == nil {
			group.counts[group.name] = map[string]int{}
		}
		group.counts[group.name][cause]++
	}
}

func (c *lateCounter) result() LateJobs {
	return LateJobs{c.causes, lateGroups(c.byWindow), lateGroups(c.byQueue), lateGroups(c.byAccount)}
}

func lateGroups(counts map[string]map[string]int) []LateGroup {
	var out []LateGroup
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		g := LateGroup{Name: name, Causes: counts[name]}
		for _, n := range g.Causes {
			g.Late += n
		}
		out = append(out, g)
	}
	return out
}
