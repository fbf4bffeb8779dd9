package admission

import (
	"maps"
	"time"
)

const (
	// memoryTime is the least time for which the planner remembers workers that are no longer
	// listed; they are forgotten within twice that. It is several times what a restart, a
	// replacement or the maintenance of a host takes (maintenance_s is below two minutes).
	memoryTime = 5 * time.Minute
	// settleTime is how long nothing new must have appeared in the pool, and how long a planner
	// must have seen it, before anything is refused permanently. A pool that is filled slowly, as
	// by a service that adds hosts one at a time, grows with pauses of more than 10 s.
	settleTime = memoryTime
)

// Memory is what the planner remembers of the pool. A successor continues from the newest
// published summary.
type Memory struct {
	// recent are the largest values since rotatedAt, older those of the time before.
	recent, older map[string]Service
	rotatedAt     time.Time
	// grownAt is when something appeared that was not remembered.
	grownAt time.Time
	// labelsOmittedUntil is until when labels may be missing that an earlier planner has seen.
	labelsOmittedUntil time.Time
}

// NewMemory returns the memory of a planner that starts now, with what an earlier planner
// published; nil is nothing.
func NewMemory(published *Pool, now time.Time) *Memory {
	m := &Memory{recent: map[string]Service{}, rotatedAt: now, grownAt: now}
	if published != nil {
		maps.Copy(m.recent, published.Services)
		if published.LabelsOmitted {
			m.labelsOmittedUntil = now.Add(2 * memoryTime)
		}
	}
	return m
}

// Observe takes the present state of the services and returns the summary to publish. readable
// is unset if an entry of the worker list can't be decoded.
func (m *Memory) Observe(services map[string]Service, readable bool, now time.Time) Pool {
	if now.Sub(m.rotatedAt) >= memoryTime {
		m.older, m.recent, m.rotatedAt = m.recent, map[string]Service{}, now
	}
	out := Pool{Services: map[string]Service{}, LabelsOmitted: now.Before(m.labelsOmittedUntil)}
	for name, s := range services {
		known, ok := m.remembered(name)
		if !ok || s.exceeds(known) {
			m.grownAt = now
		}
		m.recent[name] = s.merge(m.recent[name])
	}
	for _, names := range []map[string]Service{m.recent, m.older} {
		for name := range names {
			s, _ := m.remembered(name)
			present, listed := services[name]
			s.Absent = !listed
			s.Idle, s.LargestFree, s.StartMS, s.EstimatePercent = present.Idle, present.LargestFree, present.StartMS, present.EstimatePercent
			out.Services[name] = s
		}
	}
	out.Settled = readable && now.Sub(m.grownAt) >= settleTime
	return out
}

func (m *Memory) remembered(name string) (Service, bool) {
	recent, inRecent := m.recent[name]
	older, inOlder := m.older[name]
	return recent.merge(older), inRecent || inOlder
}

// exceeds reports whether s has anything that is not in known.
func (s Service) exceeds(known Service) bool {
	if s.Workers > known.Workers || !s.Largest.FitsIn(known.Largest) || !s.Total.FitsIn(known.Total) {
		return true
	}
	for label, n := range s.Labels {
		if n > known.Labels[label] {
			return true
		}
	}
	return false
}

// merge returns the larger values of both.
func (s Service) merge(o Service) Service {
	out := Service{Workers: max(s.Workers, o.Workers), Total: largest(s.Total, o.Total), Largest: largest(s.Largest, o.Largest), Labels: map[string]int{}}
	for _, labels := range []map[string]int{s.Labels, o.Labels} {
		for label, n := range labels {
			out.Labels[label] = max(out.Labels[label], n)
		}
	}
	return out
}
