package control_test

import (
	"bytes"

	"github.com/cobalttide/cobalttide/workload"
)

// The states of a simulation's jobs, as their records in the log show them.

func (sim *simulation) allFinal() bool { return len(sim.unfinished()) == 0 }

// unfinished lists the jobs that have not ended according to the log.
func (sim *simulation) unfinished() []string {
	var out []string
	for _, id := range sim.jobIDs {
		state, err := sim.recordedState(workload.JobID(id))
		switch {
		case err != nil:
			out = append(out, id+": "+err.Error())
		case state == "":
			out = append(out, id)
		case !state.IsFinal():
			out = append(out, id+" "+string(state))
		}
	}
	return out
}

// decodedRecord is a progress record with the state that it shows.
type decodedRecord struct {
	raw   []byte
	state workload.State
}

// recordedState returns the state that a job's record in the log shows; "" is none.
func (sim *simulation) recordedState(id workload.JobID) (workload.State, error) {
	raw := sim.log[workload.ProgressKey(id)]
	if raw == nil {
		return "", nil
	}
	if known, ok := sim.decoded[id]; ok && bytes.Equal(known.raw, raw) {
		return known.state, nil
	}
	book := workload.NewBook()
	if err := book.Fold(0, workload.ProgressKey(id), raw); err != nil {
		return "", err
	}
	sim.foldAccepted(book, string(id))
	e, _ := book.Get(id)
	sim.decoded[id] = decodedRecord{raw, e.State}
	return e.State, nil
}

// jobState returns a job's state according to its record in the log.
func (sim *simulation) jobState(id workload.JobID) workload.State {
	state, err := sim.recordedState(id)
	if err != nil || !state.IsFinal() {
		return workload.Running
	}
	return state
}

func (sim *simulation) foldAccepted(book *workload.Book, id string) {
	value := []byte(`{"id":"` + id + `","queue":"q"}`)
	_ = book.Fold(0, workload.AcceptedKey(workload.JobID(id)), value)
}
