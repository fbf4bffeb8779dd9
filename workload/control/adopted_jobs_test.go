package control_test

import (
	"bytes"
	"encoding/json"

	"github.com/cobalttide/cobalttide/workload"
)

// adoptedEnd is the entry of an ended job as a planner has adopted it.
type adoptedEnd struct {
	record    []byte
	cancelled bool
}

// adoptJobs has a planner adopt all jobs. Once it has adopted the record of a job's end, the same
// entry changes nothing any more, and is left out: decoding these records again in every round took
// about a fifth of the processor time of a simulation.
func (sim *simulation) adoptJobs(p *planner) {
	if p.adoptedEnds == nil {
		p.adoptedEnds = map[workload.JobID]adoptedEnd{}
	}
	for _, id := range sim.jobIDs {
		id := workload.JobID(id)
		e := sim.entry(id)
		last, known := p.adoptedEnds[id]
		if known && last.cancelled == e.Cancelled && bytes.Equal(last.record, e.Progress) {
			continue
		}
		p.core.Adopt(id, e)
		delete(p.adoptedEnds, id)
		if isEndRecord(e.Progress) {
			p.adoptedEnds[id] = adoptedEnd{e.Progress, e.Cancelled}
		}
	}
}

// isEndRecord reports whether a progress record is that of an ended job without open occurrences.
func isEndRecord(record []byte) bool {
	if len(record) == 0 || bytes.Contains(record, []byte(`"open":`)) {
		return false
	}
	progress := workload.NewProgress()
	return json.Unmarshal(record, progress) == nil && progress.State.IsFinal() && len(progress.Open) == 0
}
