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

// watcher looks at the workers themselves, which no instance can deceive, and
// notes every gang that runs with only some of its members or twice, and how
// fragmented the free accelerators are.
type watcher struct {
	c      *cluster
	ticker *time.Ticker
	ended  chan struct{}
	done   chan struct{}

	mu         sync.Mutex
	violations []string
	short      map[domain.Incarnation]time.Time
	unusable   float64
	free       float64
}

const watchEvery = 20 * time.Millisecond

// partialLimit is how long the rest of a gang may go on after a member's death:
// one and a half leases, and what the looks in between may miss.
var partialLimit = gang.DefaultTiming().Lease*3/2 + time.Second

func newWatcher(c *cluster) *watcher {
	return &watcher{
		c: c, ticker: time.NewTicker(watchEvery), ended: make(chan struct{}), done: make(chan struct{}),
		short: map[domain.Incarnation]time.Time{},
	}
}

func (w *watcher) run() {
	defer close(w.done)
	for {
		select {
		case <-w.ended:
			return
		case <-w.ticker.C:
			w.look(time.Now())
		}
	}
}

func (w *watcher) stop() {
	close(w.ended)
	<-w.done
}

func (w *watcher) violation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// view is one gang over all its workers.
type view struct {
	size, present, running int
}

func (w *watcher) look(now time.Time) {
	gangs := map[domain.Incarnation]*view{}
	free := map[domain.DataCentre]*placement.Cluster{}
	for _, dc := range w.c.fleet.DataCentres {
		free[dc.Name] = placement.NewCluster(w.workersOf(dc.Name))
	}
	for _, spec := range w.c.fleet.Workers("") {
		for _, m := range w.c.platform.Worker(spec.ID).Members() {
			note(gangs, m)
			if m.State.Live() {
				node := free[spec.DataCentre].Node(spec.ID)
				node.Used = node.Used.Add(m.PerTask.Times(m.Tasks))
			}
		}
	}
	w.judge(gangs, now)
	w.measure(free)
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

func note(gangs map[domain.Incarnation]*view, m port.Member) {
	v, ok := gangs[m.Gang]
	if !ok {
		v = &view{}
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

// judge holds every gang against the invariants. Workers are looked at one
// after another, so a gang counts as short only when it stays so.
func (w *watcher) judge(gangs map[domain.Incarnation]*view, now time.Time) {
	running := map[domain.JobID]domain.Incarnation{}
	for id, v := range gangs {
		if v.running == 0 || v.present >= v.size {
			delete(w.short, id)
		} else if since, known := w.short[id]; !known {
			w.short[id] = now
		} else if now.Sub(since) > partialLimit {
			w.violation("gang %v has run with %d of %d members for %v", id, v.present, v.size, now.Sub(since))
			w.short[id] = now
		}
		if v.running == 0 {
			continue
		}
		if other, twice := running[id.Job]; twice {
			w.violation("job %s runs twice at once: %v and %v", id.Job, id, other)
		}
		running[id.Job] = id
	}
}

// measure adds up the free accelerators, and those that the largest guaranteed
// shape can't use.
func (w *watcher) measure(clusters map[domain.DataCentre]*placement.Cluster) {
	for dc, cluster := range clusters {
		free, unusable := placement.Fragmentation(cluster, w.c.largestGuarantee(dc))
		w.free += float64(free)
		w.unusable += float64(unusable)
	}
}

// fragmentation is the time average share of free accelerators that the largest
// guaranteed shape can't use.
func (w *watcher) fragmentation() float64 {
	if w.free == 0 {
		return 0
	}
	return w.unusable / w.free
}
