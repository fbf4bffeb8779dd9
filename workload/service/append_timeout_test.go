package service

import (
	"testing"
	"time"
)

// Guards against leases that are cut short where answers of the log are lost: each lost answer must
// not cost the whole append timeout once the last write is old. Without a horizon nothing changes.
func TestAttemptsAreShortOnceTheLastWriteIsOld(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		topic   Topic
		age     time.Duration
		horizon time.Duration
		want    time.Duration
	}{
		"recent write":  {Plans, 2 * time.Second, leaseBounds.Horizon, appendTimeout},
		"old write":     {Plans, 3 * time.Second, leaseBounds.Horizon, lateAppendTimeout},
		"no horizon":    {Plans, 3 * time.Second, 0, appendTimeout},
		"another topic": {States, 3 * time.Second, leaseBounds.Horizon, appendTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			p := &planner{s: &Service{}, lastWrite: now.Add(-c.age)}
			p.s.settings.Bounds = leaseBounds
			p.s.settings.Bounds.Horizon = c.horizon
			if got := p.attemptTimeout(c.topic, now); got != c.want {
				t.Errorf("an attempt waits %v, want %v", got, c.want)
			}
		})
	}
}
