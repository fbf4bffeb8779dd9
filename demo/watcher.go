package demo

import (
	"fmt"
	"sync"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/planner/gang"
	"github.com/cobalttide/cobalttide/port"
	"github.com/cobalttide/cobalttide/scheduler/placement"
)

// watcher polls the workers directly, independently of the instances. It records
// gangs that run with only some of their members, jobs that run twice at once, and
// the fragmentation of the free accelerators.
type watcher struct {
	c      *cluster
	ticker *time.Ticker
	quit   chan struct{}
	done   chan struct{}

	mu           sync.Mutex
	violations   []string
	partialSince map[domain.Incarnation]time.Time
	unusableSum  float64
	freeSum      float64
}

const watchInterval = 20 * time.Millisecond

// partialLimit is how long the rest of a gang may run on after a member has ended:
// one and a half leases, plus a margin for the pauses between polls.
var partialLimit = gang.DefaultTiming().Lease*3/2 + time.Second

func newWatcher(c *cluster) *watcher {
	return &watcher{
		c: c, ticker: time.NewTicker(watchInterval), quit: make(chan struct{}), done: make(chan struct{}),
		partialSince: map[domain.Incarnation]time.Time{},
	}
}

func (w *watcher) run() {
	defer close(w.done)
	for {
		select {
		case <-w.quit:
			return
		case <-w.ticker.C:
			w.observe(time.Now())
		}
	}
}

func (w *watcher) stop() {
	close(w.quit)
	<-w.done
}

func (w *watcher) addViolation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// gangView counts the members of one gang over all its workers.
type gangView struct {
	size, present, running int
}

func (w *watcher) observe(now time.Time) {
	gangs := map[domain.Incarnation]*gangView{}
	free := map[domain.DataCentre]*placement.Cluster{}
	for _, dc := range w.c.fleet.DataCentres {
		free[dc.Name] = placement.NewCluster(w.workersOf(dc.Name))
	}
	for _, spec := range w.c.fleet.Workers("") {
		for _, m := range w.c.platform.Worker(spec.ID).Members() {
			addMember(gangs, m)
			if m.State.HoldsResources() {
				node := free[spec.DataCentre].Node(spec.ID)
				node.Used = node.Used.Add(m.PerTask.Times(m.Tasks))
			}
		}
	}
	w.checkInvariants(gangs, now)
	w.addFragmentation(free)
}

func (w *watcher) workersOf(dc domain.DataCentre) []domain.Worker {
	var out []domain.Worker
	for _, spec := range w.c.fleet.Workers("") {
		if spec.DataCentre == dc {
			out = append(out, spec)
		}
	}
	return out
}

func addMember(gangs map[domain.Incarnation]*gangView, m port.Member) {
	v, ok := gangs[m.Gang]
	if !ok {
		v = &gangView{}
		gangs[m.Gang] = v
	}
	v.size = max(v.size, m.Members)
	switch m.State {
	case port.TaskRunning:
		v.running++
		v.present++
	case port.TaskArmed, port.TaskFinished:
		v.present++
	}
}

// checkInvariants checks every gang against the invariants. Workers are polled one
// after another, so a gang counts as partial only if it stays so for partialLimit.
func (w *watcher) checkInvariants(gangs map[domain.Incarnation]*gangView, now time.Time) {
	running := map[domain.JobID]domain.Incarnation{}
	for id, v := range gangs {
		if v.running == 0 || v.present >= v.size {
			delete(w.partialSince, id)
		} else if since, known := w.partialSince[id]; !known {
			w.partialSince[id] = now
		} else if now.Sub(since) > partialLimit {
			w.addViolation("gang %v has run with %d of %d members for %v", id, v.present, v.size, now.Sub(since))
			w.partialSince[id] = now
		}
		if v.running == 0 {
			continue
		}
		if other, twice := running[id.Job]; twice {
			w.addViolation("job %s runs twice at once: %v and %v", id.Job, id, other)
		}
		running[id.Job] = id
	}
}

// addFragmentation adds the numbers of free accelerators, and of those that the
// largest guaranteed shape can't use, to the sums.
func (w *watcher) addFragmentation(clusters map[domain.DataCentre]*placement.Cluster) {
	for dc, cluster := range clusters {
		free, unusable := placement.Fragmentation(cluster, w.c.largestGuarantee(dc))
		w.freeSum += float64(free)
		w.unusableSum += float64(unusable)
	}
}

// fragmentation returns the share of free accelerators, averaged over time, that the
// largest guaranteed shape can't use.
func (w *watcher) fragmentation() float64 {
	if w.freeSum == 0 {
		return 0
	}
	return w.unusableSum / w.freeSum
}
