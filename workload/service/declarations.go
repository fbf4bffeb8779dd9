package service

import (
	"time"

	"github.com/cobalttide/cobalttide/events"
)

// How an instance follows what operators declare: the configuration, evacuations, waves.

// declareAll takes the newest of all declarations. Evacuations first: an instance with
// a configuration may plan, and must know by then where nothing may begin. Those that
// are not among the newest were taken back.
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

// declaredPeriod is the least time between two reads of the declarations. A planner
// reads on at once: what an operator has evacuated gets nothing new after some tens of
// milliseconds then, where it would take up to a second.
func (s *Service) declarationsInterval() time.Duration {
	if s.planning.Load() {
		return 0
	}
	return statesReadInterval
}

// declaredWait is how long a read of the declarations waits for news. They come seldom, and
// nothing but such reads calls the log for them: one that waits for half of the age at which
// nothing is answered any more leaves the other half to find a connection that went silent.
func (s *Service) declarationsWait() time.Duration {
	if s.planning.Load() {
		return plannerWait
	}
	return max(readerWait, s.settings.Stale/2)
}
