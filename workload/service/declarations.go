package service

import (
	"time"

	"github.com/cobalttide/cobalttide/events"
)

// The declarations of operators: the configuration, evacuations and maintenance waves.

// applyDeclarations takes over the newest record of each declaration. Evacuations come first:
// an instance that has a configuration may start to plan and must know by then where nothing
// may start. Evacuations that are not among the records have been withdrawn.
func (s *Service) applyDeclarations(entries []Entry) {
	var centres []string
	for _, e := range entries {
		if centre, ok := s.decoder.Evacuation(e.Key); ok && len(e.Value) > 0 {
			centres = append(centres, centre)
		}
	}
	s.evacuations.replace(centres)
	for _, e := range entries {
		s.applyDeclaration(e)
	}
}

func (s *Service) applyDeclaration(e Entry) {
	if centre, ok := s.decoder.Evacuation(e.Key); ok {
		s.evacuations.set(centre, len(e.Value) > 0)
		return
	}
	if wave, ok, err := s.decoder.Wave(e.Key, e.Value); ok {
		if err != nil {
			s.logUnreadable(e, err)
			return
		}
		s.waves.declare(wave)
		return
	}
	next, ok, err := s.decoder.Directory(e.Key, e.Value)
	if err != nil {
		s.logUnreadable(e, err)
		return
	}
	current := s.directory.Load()
	if !ok || (current != nil && current.Version >= next.Version) {
		return
	}
	s.directory.Store(next)
	s.events.Info(events.ConfigurationInForce, events.Fields{"version": next.Version, "queues": len(next.Queues)})
	for _, problem := range next.Problems[:min(len(next.Problems), maxLoggedProblems)] {
		s.logUnreadable(e, problem)
	}
}

// declarationsInterval is the minimum time between two reads of the declarations. A planner
// reads without a pause, so that no work is started in an evacuated data centre after some tens
// of milliseconds, instead of up to a second.
func (s *Service) declarationsInterval() time.Duration {
	if s.planning.Load() {
		return 0
	}
	return statesReadInterval
}

// declarationsWait is how long a read of the declarations waits for new records. Declarations
// are rare, and only these reads check the connection to their part of the log. Waiting for
// half of the age at which this instance stops answering leaves the other half to detect a dead
// connection.
func (s *Service) declarationsWait() time.Duration {
	if s.planning.Load() {
		return plannerWait
	}
	return max(readerWait, s.settings.StaleAfter/2)
}
