package service

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cobalttide/cobalttide/workload/control"
)

// members knows where the other instances are, so that one that the log turns
// away can reach it through them.
type members struct {
	self, address string
	log           Log
	// changed takes the addresses of the others.
	changed func([]string)
	follow  *follower

	mu    sync.Mutex
	known map[string]string
}

// memberWait is how long a read waits for a new member.
const memberWait = 10 * time.Second

func newMembers(s *Service, changed func([]string)) *members {
	m := &members{self: s.settings.Instance, address: s.settings.Address, log: s.log, changed: changed, known: map[string]string{}}
	m.follow = s.follow(Members, m.takeAll, m.take, func() time.Duration { return 0 })
	m.follow.wait = memberWait
	return m
}

func (m *members) run(ctx context.Context) {
	if m.address == "" || m.changed == nil {
		return
	}
	var reading sync.WaitGroup
	reading.Go(func() { m.follow.run(ctx) })
	defer reading.Wait()
	value, err := json.Marshal(m.address)
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
	var address string
	if json.Unmarshal(e.Value, &address) != nil || e.Key == m.self {
		return
	}
	m.mu.Lock()
	m.known[e.Key] = address
	var out []string
	for _, known := range m.known {
		out = append(out, known)
	}
	m.mu.Unlock()
	slices.Sort(out)
	m.changed(out)
}
