package service

import (
	"context"
	"math/bits"
	"slices"
	"sync"
	"time"

	"github.com/cobalttide/cobalttide/events"
)

// Who reads what the planner writes. Acceptances and progress are most of what the
// log holds; if every instance read them, the bytes would grow with work times instances, beyond
// the rate that all reads share. So a few standbys read them, which are
// current when the planner falls silent, and all others read the states alone.
//
// Any number of instances may be lost at once, the standbys among them. Whoever has
// heard no planner for long reads as well, in waves that double: the first are as
// many as the standbys, and all have begun after a few patiences, whatever the number
// of instances.

// standby says whether this instance reads what the planner writes.
type standby struct {
	// most is the number of standbys, patience the silence of a planner after which
	// it is succeeded.
	most     int
	patience time.Duration

	mu sync.Mutex
	// place is this instance's among the candidates; below 0 it is not known yet.
	place int
	// quiet is when the planner was heard last, or the log was regained.
	quiet time.Time
	// wanted is when reading was last worth it.
	wanted time.Time
}

const (
	// wakeAfter is the silence, in patiences, after which instances that don't stand
	// by begin to read: a standby would have claimed by then, and its first sign be read.
	wakeAfter = 2
	// wakeWave is the time between waves, in patiences: what claiming takes at the
	// least once all is read.
	wakeWave = 0.5
	// wakeWaves bounds the waves; those that don't know their place are in the last.
	wakeWaves = 8
	// standbyEvery is how often it is looked at.
	standbyEvery = 50 * time.Millisecond
	// standbyRest is how many patiences an instance that was needed reads on once it
	// is not: planners that are lost one after the other find it current.
	standbyRest = 4
)

func newStandby(most int, patience time.Duration, now time.Time) *standby {
	return &standby{most: most, patience: patience, place: -1, quiet: now}
}

// wave is the place of an instance's turn among those that don't stand by: the
// first standbys' number is in the first, and each wave doubles what reads.
func wave(place, standbys int) int {
	if place < 0 {
		return wakeWaves
	}
	return min(wakeWaves, bits.Len(uint(place/max(1, standbys)))-1)
}

// wants tells whether to read now.
func (s *standby) wants(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	stands := s.place >= 0 && s.place < s.most
	if stands || now.Sub(s.quiet) > s.wakes() {
		s.wanted = now
	}
	return !s.wanted.IsZero() && now.Sub(s.wanted) < standbyRest*s.patience
}

// wakes is the silence after which this instance reads; s.mu is held.
func (s *standby) wakes() time.Duration {
	return time.Duration((wakeAfter + wakeWave*float64(wave(s.place, s.most))) * float64(s.patience))
}

// heard notes a sign of the planner.
func (s *standby) heard(now time.Time) {
	s.mu.Lock()
	s.quiet = now
	s.mu.Unlock()
}

// lastHeard is when the planner was heard last.
func (s *standby) lastHeard() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quiet
}

func (s *standby) setPlace(place int) {
	s.mu.Lock()
	s.place = place
	s.mu.Unlock()
}

// silentSince is from when on an instance that has just read the plans counts their
// silence: one that woke because no planner was heard among the states, which it
// could read all the while, goes on from there.
func (s *Service) silentSince(now time.Time) time.Time {
	heard := s.standby.lastHeard()
	if s.states.connected() && now.Sub(heard) > wakeAfter*s.settings.Patience {
		return heard
	}
	return now
}

// standBy reads acceptances and progress while that is worth it.
func (s *Service) standBy(ctx context.Context) {
	var stop func()
	defer func() {
		if stop != nil {
			stop()
		}
	}()
	for ctx.Err() == nil {
		now := s.clock.Now()
		if !s.reaches() {
			// Silence counts only while it could be broken.
			s.standby.heard(now)
		}
		wants := s.standby.wants(now)
		switch {
		case wants && stop == nil:
			stop = s.readPlans(ctx)
		case !wants && stop != nil && s.role.TryLock():
			stop()
			stop = nil
			s.book.Shed()
			s.events.Info(events.BookShed, events.Fields{})
			s.role.Unlock()
		}
		sleep(ctx, standbyEvery)
	}
}

// readPlans begins to follow what the planner and those who accept write, and
// returns what ends it.
func (s *Service) readPlans(ctx context.Context) func() {
	s.events.Info(events.StandbyBegins, events.Fields{"silent_ms": s.clock.Since(s.standby.lastHeard()).Milliseconds()})
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	for _, f := range s.plannersOwn() {
		f.following(true)
		group.Go(func() { f.run(ctx) })
	}
	return func() {
		cancel()
		group.Wait()
		for _, f := range s.plannersOwn() {
			f.following(false)
		}
		s.events.Info(events.StandbyEnds, events.Fields{})
	}
}

// plannersOwn are the topics that only a planner and its standbys follow.
func (s *Service) plannersOwn() []*follower { return append(slices.Clone(s.accepts.topics), s.plans) }
