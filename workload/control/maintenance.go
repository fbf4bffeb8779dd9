package control

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Wave asks that each of some hosts has its maintenance in time. A host is what
// lives of a worker, one after the other, run on.
type Wave struct {
	ID    int64
	Hosts []string
	// Within is the time from the wave's declaration in which all have to have
	// begun, Most how many may be down for it at once.
	Within time.Duration
	Most   int
}

// HostListing is a host as the platform's list has it.
type HostListing struct {
	Host string
	// Worker is the life that runs there now; "" is none.
	Worker string
	// Up tells that the host works.
	Up bool
}

// DutyOrder begins a host's maintenance, which ends everything that runs there.
type DutyOrder struct {
	Host  string
	Wave  int64
	Token int64
}

// DutyVerdict is what came of a duty's order.
type DutyVerdict string

// The verdicts on duties.
const (
	// DutyBegun: the maintenance has begun, or had before.
	DutyBegun DutyVerdict = "begun"
	// DutyBusy: the host is not up, or leaves; nothing was done.
	DutyBusy DutyVerdict = "busy"
	// DutyFenced: a newer planner has given orders for the host.
	DutyFenced DutyVerdict = "fenced"
	// DutyForeign: there is no such host, or it does not belong to the wave.
	DutyForeign DutyVerdict = "foreign"
	// DutyRefused: nothing was done, for want of room in a rate or the like.
	DutyRefused DutyVerdict = "refused"
	// DutyUnanswered: it may have been carried out, or may be later.
	DutyUnanswered DutyVerdict = "unanswered"
)

// hostPhase is how far a host of a wave is.
type hostPhase int

const (
	// hostWaits: nothing has been done.
	hostWaits hostPhase = iota
	// hostVacating: it gets nothing new, and what runs there ends or is stopped.
	hostVacating
	// hostOrdered: its order is in the log, and may be carried out at any time.
	hostOrdered
	// hostDown: its maintenance has begun and it is not back yet.
	hostDown
	// hostDone: it is back, or is not there any more.
	hostDone
)

// wave is a wave with what the planner has done of it.
type wave struct {
	Wave
	sinceMS int64
	phase   map[string]hostPhase
	// begunAt is when the answer came that a host's maintenance has begun.
	begunAt map[string]time.Time
	// released orders are in the log; notBefore and doubtful belong to calls.
	released  map[string]bool
	calling   map[string]bool
	doubtful  map[string]bool
	notBefore map[string]time.Time
	dirty     bool
	complete  bool
	// told is the state that was last reported; "" is none.
	told WaveState
}

// WaveState is how a wave is reported.
type WaveState string

// The states of a wave.
const (
	WaveActive    WaveState = "active"
	WaveCompleted WaveState = "completed"
)

// waveRecord is what a successor has to know of a wave.
type waveRecord struct {
	SinceMS int64 `json:"since"`
	// Ordered hosts may go down at any time, Begun ones have begun.
	Ordered  []string `json:"ordered,omitempty"`
	Begun    []string `json:"begun,omitempty"`
	Complete bool     `json:"complete,omitempty"`
}

const (
	wavePrefix = "w/"
	// dutyMargin is what an order, its answer and the list take beside a host's
	// maintenance.
	dutyMargin = time.Second
	// dutyRest is the pause before an order is given again.
	dutyRest = 500 * time.Millisecond
)

// WaveKey is the key of a wave's record.
func WaveKey(id int64) string { return fmt.Sprintf("%s%d", wavePrefix, id) }

// IsWaveKey tells whether a record is a wave's.
func IsWaveKey(key string) bool {
	return len(key) > len(wavePrefix) && key[:len(wavePrefix)] == wavePrefix
}

// AdoptWave takes a declared wave over, with the record that an earlier planner
// has left of it; nil is none.
func (c *Core) AdoptWave(declared Wave, record []byte, wallMS int64) {
	if c.waves[declared.ID] != nil {
		return
	}
	v := &wave{
		Wave: declared, sinceMS: wallMS, phase: map[string]hostPhase{}, begunAt: map[string]time.Time{}, released: map[string]bool{},
		calling: map[string]bool{}, doubtful: map[string]bool{}, notBefore: map[string]time.Time{}, dirty: true,
	}
	past := waveRecord{}
	if len(record) > 0 && json.Unmarshal(record, &past) == nil {
		v.sinceMS = past.SinceMS
		v.complete = past.Complete
		v.dirty = false
	}
	for _, host := range past.Ordered {
		v.phase[host] = hostOrdered
		v.released[host] = true
		v.doubtful[host] = true
	}
	for _, host := range past.Begun {
		v.phase[host] = hostDown
	}
	c.waves[declared.ID] = v
	c.note(Note{Event: EventWaveTaken, Detail: fmt.Sprintf("wave=%d hosts=%d most=%d within_ms=%d", v.ID, len(v.Hosts), v.Most, v.Within.Milliseconds())})
}

// Hosts takes the platform's list of hosts over; it was asked for at the time
// given.
func (c *Core) Hosts(list []HostListing, asked time.Time) {
	c.hosts = make(map[string]HostListing, len(list))
	for _, h := range list {
		c.hosts[h.Host] = h
	}
	c.hostsAt = asked
	for _, id := range sortedKeys(c.waves) {
		v := c.waves[id]
		for _, host := range v.Hosts {
			v.listed(host, c.hosts, asked)
		}
	}
}

// listed follows a host of the wave through the platform's list.
func (v *wave) listed(host string, hosts map[string]HostListing, asked time.Time) {
	h, there := hosts[host]
	switch {
	case !there && !v.doubtful[host]:
		v.phase[host] = hostDone
	case v.phase[host] == hostDown && h.Up && asked.After(v.begunAt[host]):
		v.phase[host] = hostDone
	}
}

// WantsHosts tells whether the list of hosts is to be read now.
func (c *Core) WantsHosts(now time.Time) bool {
	every := max(c.bounds.Maintenance/4, dutyRest/2)
	if now.Sub(c.hostsAt) < every {
		return false
	}
	for _, v := range c.waves {
		if !v.complete || v.down() > 0 {
			return true
		}
	}
	return false
}

// down counts the hosts that are, or may at any time be, down for the wave.
func (v *wave) down() int {
	n := 0
	for _, p := range v.phase {
		if p == hostOrdered || p == hostDown {
			n++
		}
	}
	return n
}

// maintain takes the waves a step further.
func (c *Core) maintain(now time.Time) {
	c.vacating = map[string]bool{}
	if c.hostsAt.IsZero() {
		return
	}
	budget := c.newBudget(now)
	for _, id := range sortedKeys(c.waves) {
		v := c.waves[id]
		if v.complete {
			continue
		}
		c.choose(v, now)
		for _, host := range v.Hosts {
			if v.phase[host] == hostVacating {
				c.vacate(v, host, budget, now)
			}
		}
		if v.allBegun() {
			v.complete = true
			v.dirty = true
		}
	}
}

func (v *wave) allBegun() bool {
	for _, host := range v.Hosts {
		if v.phase[host] < hostDown {
			return false
		}
	}
	return true
}

// choose lets the hosts that lose the least be vacated: as many as may be down
// at once, and as many more where the time is short.
func (c *Core) choose(v *wave, now time.Time) {
	open := v.Most - v.down()
	if c.slack(v, now) <= 0 {
		open += v.Most
	}
	var waiting []string
	for _, host := range v.Hosts {
		switch {
		case v.phase[host] == hostVacating:
			open--
		case v.phase[host] == hostWaits && c.hosts[host].Up && !now.Before(v.notBefore[host]):
			waiting = append(waiting, host)
		}
	}
	slices.SortStableFunc(waiting, func(a, b string) int {
		return cmp.Compare(c.lostOn(a, now), c.lostOn(b, now))
	})
	for _, host := range waiting[:max(0, min(open, len(waiting)))] {
		v.phase[host] = hostVacating
		c.note(Note{Event: EventHostVacated, Worker: c.hosts[host].Worker, Detail: fmt.Sprintf("wave=%d host=%s", v.ID, host)})
	}
}

// slack is the time that the wave has beyond what its hosts need one after the
// other.
func (c *Core) slack(v *wave, now time.Time) time.Duration {
	left := 0
	for _, host := range v.Hosts {
		if v.phase[host] < hostDown {
			left++
		}
	}
	rounds := (left + max(v.Most, 1) - 1) / max(v.Most, 1)
	passed := time.Duration(c.wallMS-v.sinceMS) * time.Millisecond
	return v.Within - passed - time.Duration(rounds)*(c.bounds.Maintenance+dutyMargin)
}

// lostOn is the work in core-seconds that goes with a host.
func (c *Core) lostOn(host string, now time.Time) float64 {
	w := c.workers[c.hosts[host].Worker]
	if w == nil {
		return 0
	}
	sum := 0.0
	for _, l := range w.tasks {
		sum += c.lost(l, now)
	}
	return sum
}

// vacate keeps new work off a host, stops what does not end in time, and orders
// the maintenance once it is empty.
func (c *Core) vacate(v *wave, host string, budget *budget, now time.Time) {
	id := c.hosts[host].Worker
	c.vacating[id] = true
	w := c.workers[id]
	if w != nil {
		slack := c.slack(v, now)
		for _, l := range w.sortedTasks() {
			if !l.stopping && !l.over && c.remaining(l, now) > slack && budget.take(l) {
				c.stop(l, "maintenance")
			}
		}
	}
	if (w == nil || len(w.tasks) == 0) && v.down() < v.Most {
		v.phase[host] = hostOrdered
		v.dirty = true
	}
}

// waveChanges adds the records of waves that have changed.
func (c *Core) waveChanges(out []Record) []Record {
	for _, id := range sortedKeys(c.waves) {
		v := c.waves[id]
		if !v.dirty {
			continue
		}
		v.dirty = false
		record := waveRecord{SinceMS: v.sinceMS, Complete: v.complete}
		for _, host := range v.Hosts {
			switch v.phase[host] {
			case hostOrdered:
				record.Ordered = append(record.Ordered, host)
				c.ordered = append(c.ordered, DutyOrder{Host: host, Wave: id, Token: c.token})
			case hostDown, hostDone:
				record.Begun = append(record.Begun, host)
			}
		}
		value, err := json.Marshal(record)
		if err != nil {
			continue
		}
		out = append(out, Record{Key: WaveKey(id), Value: value})
	}
	return out
}

// waveWritten releases the orders that are in the log now.
func (c *Core) waveWritten() {
	for _, o := range c.ordered {
		if v := c.waves[o.Wave]; v.phase[o.Host] == hostOrdered {
			v.released[o.Host] = true
		}
	}
	c.ordered = nil
}

// Duties hands out the orders that are due. A new planner waits for as long as
// its predecessor's may count as the last.
func (c *Core) Duties(now time.Time) []DutyOrder {
	var out []DutyOrder
	if now.Before(c.dutiesFrom) {
		return nil
	}
	for _, id := range sortedKeys(c.waves) {
		v := c.waves[id]
		for _, host := range v.Hosts {
			if v.phase[host] != hostOrdered || !v.released[host] || v.calling[host] || now.Before(v.notBefore[host]) {
				continue
			}
			v.calling[host] = true
			out = append(out, DutyOrder{Host: host, Wave: id, Token: c.token})
		}
	}
	return out
}

// DutyDone takes the answer to a duty's order.
func (c *Core) DutyDone(o DutyOrder, verdict DutyVerdict, now time.Time) {
	v := c.waves[o.Wave]
	if v == nil {
		return
	}
	v.calling[o.Host] = false
	v.notBefore[o.Host] = now.Add(dutyRest)
	c.note(Note{Event: EventDutyAnswered, Why: string(verdict), Detail: fmt.Sprintf("wave=%d host=%s", o.Wave, o.Host)})
	switch verdict {
	case DutyBegun:
		v.phase[o.Host] = hostDown
		v.begunAt[o.Host] = now
		v.doubtful[o.Host] = false
		v.dirty = true
	case DutyFenced:
		c.deposed = true
	case DutyForeign:
		v.phase[o.Host] = hostDone
		v.dirty = true
	case DutyUnanswered:
		v.doubtful[o.Host] = true
	case DutyBusy, DutyRefused:
		if !v.doubtful[o.Host] {
			v.phase[o.Host] = hostWaits
			v.released[o.Host] = false
			v.dirty = true
		}
	}
}

// WaveReport is a wave's state that is to be reported.
type WaveReport struct {
	ID    int64
	State WaveState
}

// WaveReports lists the states that have not been reported.
func (c *Core) WaveReports() []WaveReport {
	var out []WaveReport
	for _, id := range sortedKeys(c.waves) {
		v := c.waves[id]
		if v.told != v.state() {
			out = append(out, WaveReport{id, v.state()})
		}
	}
	return out
}

func (v *wave) state() WaveState {
	if v.complete && !v.dirty {
		return WaveCompleted
	}
	return WaveActive
}

// WaveReported notes that a state was reported.
func (c *Core) WaveReported(r WaveReport) {
	if v := c.waves[r.ID]; v != nil {
		v.told = r.State
	}
}
