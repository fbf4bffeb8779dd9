package service

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cobalttide/cobalttide/workload/control"
)

// member is what an instance says of itself.
type member struct {
	Address string `json:"address"`
	// Power orders the candidates for the planner's role; more goes first.
	Power float64 `json:"power"`
}

// members knows the other instances: where they are, so that one that the log
// turns away can reach it through them, and how strong they are, so that a
// strong one plans.
type members struct {
	self   string
	own    member
	log    Log
	follow *follower
	// changed takes the addresses of the others and this one's place among all by
	// power.
	changed func(others []string, place int)

	mu    sync.Mutex
	known map[string]member
}

// memberWait is how long a read waits for a new member.
const memberWait = 10 * time.Second

func newMembers(s *Service) *members {
	m := &members{self: s.settings.Instance, own: member{s.settings.Address, s.settings.Power}, log: s.log, known: map[string]member{}}
	m.changed = func(others []string, place int) {
		s.succession.setTurn(place)
		if s.settings.Peers != nil {
			s.settings.Peers(others)
		}
	}
	m.follow = s.follow(Members, m.takeAll, m.take, func() time.Duration { return 0 })
	m.follow.wait = func() time.Duration { return memberWait }
	return m
}

func (m *members) run(ctx context.Context) {
	if m.own.Address == "" {
		return
	}
	var reading sync.WaitGroup
	reading.Go(func() { m.follow.run(ctx) })
	defer reading.Wait()
	value, err := json.Marshal(m.own)
	if err != nil {
		return
	}
	for ctx.Err() == nil {
		_, err := m.log.Append(ctx, Members, []control.Record{{Key: m.self, Value: value}}, nil)
		if err == nil {
			return
		}
		sleep(ctx, followRetry)
	}
}

func (m *members) takeAll(entries []Entry) {
	for _, e := range entries {
		m.take(e)
	}
}

func (m *members) take(e Entry) {
	other := member{}
	if json.Unmarshal(e.Value, &other) != nil || e.Key == m.self {
		return
	}
	m.mu.Lock()
	m.known[e.Key] = other
	var out []string
	place := 0
	for name, known := range m.known {
		out = append(out, known.Address)
		if known.Power > m.own.Power || (known.Power == m.own.Power && name < m.self) {
			place++
		}
	}
	m.mu.Unlock()
	slices.Sort(out)
	m.changed(out, place)
}
