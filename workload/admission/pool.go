package admission

import (
	"encoding/json"
	"maps"
	"math"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// Pool is the planner's summary of the pool. Instances that do not plan know nothing else of
// the workers.
type Pool struct {
	Services map[string]Service `json:"s,omitempty"`
	// Settled is set if nothing new has appeared in the pool for settleTime and every entry of
	// the worker list could be decoded. Otherwise the pool may be about to grow.
	Settled bool `json:"ok,omitempty"`
	// LabelsOmitted is set if the labels do not fit into the record.
	LabelsOmitted bool `json:"x,omitempty"`
	// JobsFull is set if the planner has no memory for further large jobs.
	JobsFull bool `json:"jf,omitempty"`
}

// Service summarises the workers of one service. The fields up to Labels are the largest values
// that were seen in the remembered time, so that workers which are expected back count.
type Service struct {
	Workers int `json:"n"`
	// Total is the capacity of all workers. Largest has the largest amount of each resource that
	// one worker has, not necessarily the same worker.
	Total   workload.Resources `json:"t"`
	Largest workload.Resources `json:"l"`
	// Labels counts the workers with each label, their racks among them.
	Labels map[string]int `json:"b,omitempty"`
	// Absent is set if no worker is listed now: the pool may be about to be replaced.
	Absent bool `json:"a,omitempty"`
	// Idle is the number of workers that get new work and run nothing now, LargestFree the
	// largest free amount of each resource on one worker that gets new work.
	Idle        int                `json:"i,omitempty"`
	LargestFree workload.Resources `json:"f"`
	// StartMS is the expected time until work of each class that is accepted now starts, in
	// milliseconds. EstimatePercent is how long its tasks take, in percent of what callers
	// estimate; 0 is not known.
	StartMS         [Classes]int64 `json:"w"`
	EstimatePercent [Classes]int64 `json:"e"`
}

// estimateFactor returns by what callers' estimates are multiplied.
func (s *Service) estimateFactor(class int) float64 {
	if s.EstimatePercent[class] <= 0 {
		return 1
	}
	return float64(s.EstimatePercent[class]) / 100
}

// Add adds a worker with its labels.
func (s *Service) Add(capacity workload.Resources, labels []string) {
	s.Workers++
	s.Total = s.Total.Add(capacity)
	s.Largest = largest(s.Largest, capacity)
	if s.Labels == nil {
		s.Labels = map[string]int{}
	}
	for _, label := range labels {
		s.Labels[label]++
	}
}

// AddFree adds the free capacity of a worker that gets new work.
func (s *Service) AddFree(free workload.Resources, idle bool) {
	s.LargestFree = largest(s.LargestFree, free)
	if idle {
		s.Idle++
	}
}

func largest(a, b workload.Resources) workload.Resources {
	return workload.Resources{MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMiB: max(a.MemoryMiB, b.MemoryMiB), Accelerators: max(a.Accelerators, b.Accelerators)}
}

// Work is an amount of work: the resources that it takes, multiplied by seconds.
type Work struct {
	MilliCPU, MemoryMiB, Accelerators float64
}

// Add adds tasks that run for a time.
func (w *Work) Add(need workload.Resources, tasks int, runTime time.Duration) {
	seconds := float64(tasks) * runTime.Seconds()
	w.MilliCPU += seconds * float64(need.MilliCPU)
	w.MemoryMiB += seconds * float64(need.MemoryMiB)
	w.Accelerators += seconds * float64(need.Accelerators)
}

// over returns the time in seconds in which a pool of the given capacity does the work.
func (w Work) over(capacity workload.Resources) float64 {
	return max(over(w.MilliCPU, capacity.MilliCPU), over(w.MemoryMiB, capacity.MemoryMiB), over(w.Accelerators, capacity.Accelerators))
}

// Backlog is the work of one class that is ahead of work accepted now.
type Backlog struct {
	// Work is what waits, and the rest of what runs.
	Work Work
	// Estimated and Expected are the run times of waiting tasks as callers estimate them and as
	// the planner expects them.
	Estimated, Expected time.Duration
}

// SetStarts computes StartMS from the backlogs and the capacity that gets new work. A class
// starts once the work of the classes before it, and that of its own, has been worked off by all
// of that capacity. It may start later: packing leaves gaps, and work that arrives later with a
// higher priority goes first. Without capacity nothing is known.
func (s *Service) SetStarts(backlogs [Classes]Backlog, capacity workload.Resources) {
	ahead := Work{}
	for class, b := range backlogs {
		ahead.MilliCPU += b.Work.MilliCPU
		ahead.MemoryMiB += b.Work.MemoryMiB
		ahead.Accelerators += b.Work.Accelerators
		s.StartMS[class] = int64(min(ahead.over(capacity)*1000, maxStartMS))
		if b.Estimated > 0 {
			s.EstimatePercent[class] = int64(100 * b.Expected.Seconds() / b.Estimated.Seconds())
		}
	}
}

// maxStartMS keeps an estimate within what a duration can hold.
const maxStartMS = 1e9

func over(work float64, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return work / float64(capacity)
}

// Changed reports whether a summary differs from another by more than a tenth.
func (p *Pool) Changed(o *Pool) bool {
	if p.Settled != o.Settled || p.JobsFull != o.JobsFull || p.LabelsOmitted != o.LabelsOmitted || len(p.Services) != len(o.Services) {
		return true
	}
	for name, s := range p.Services {
		other, ok := o.Services[name]
		if !ok || s.changed(other) {
			return true
		}
	}
	return false
}

func (s Service) changed(o Service) bool {
	if s.Absent != o.Absent || len(s.Labels) != len(o.Labels) || differs(int64(s.Workers), int64(o.Workers)) || differs(int64(s.Idle), int64(o.Idle)) {
		return true
	}
	for label := range s.Labels {
		if o.Labels[label] == 0 {
			return true
		}
	}
	for class := range s.StartMS {
		if differs(s.StartMS[class], o.StartMS[class]) {
			return true
		}
	}
	return resourcesDiffer(s.Total, o.Total) || resourcesDiffer(s.Largest, o.Largest) || resourcesDiffer(s.LargestFree, o.LargestFree)
}

func resourcesDiffer(a, b workload.Resources) bool {
	return differs(a.MilliCPU, b.MilliCPU) || differs(a.MemoryMiB, b.MemoryMiB) || differs(a.Accelerators, b.Accelerators)
}

func differs(a, b int64) bool {
	return math.Abs(float64(a-b)) > 0.1*float64(max(a, b))
}

// maxPoolBytes limits the record of a summary: every instance reads it about once a second.
const maxPoolBytes = 1000

// Encode returns the record of a summary. If it is too large, the labels are left out, or then
// the services; nothing is refused for what is left out.
func (p Pool) Encode() []byte {
	value := mustMarshal(p)
	if len(value) > maxPoolBytes {
		p.LabelsOmitted = true
		p.Services = maps.Clone(p.Services)
		for name, s := range p.Services {
			s.Labels = nil
			p.Services[name] = s
		}
		value = mustMarshal(p)
	}
	if len(value) > maxPoolBytes {
		value = mustMarshal(Pool{LabelsOmitted: true})
	}
	return value
}

func mustMarshal(p Pool) []byte {
	value, err := json.Marshal(p)
	if err != nil {
		panic(err) // every field can be marshalled
	}
	return value
}
