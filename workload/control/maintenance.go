package control

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Wave is a request to start the maintenance of several hosts in time. A worker's incarnations
// run on a host one after the other.
type Wave struct {
	ID    int64
	Hosts []string
	// Within is the time from the wave's declaration within which the maintenance of all hosts
	// must have begun. MaxDown is the maximum number of hosts that may be down for the wave at once.
	Within  time.Duration
	MaxDown int
}

// HostListing is a host in the platform's list.
type HostListing struct {
	Host string
	// Worker is the worker that runs there now; "" is none.
	Worker string
	// Up is set if the host is running.
	Up bool
}

// DutyOrder begins the maintenance of a host, which ends everything that runs there.
type DutyOrder struct {
	Host  string
	Wave  int64
	Token int64
}

// DutyResult is the result of a DutyOrder.
type DutyResult string

// The results of duty orders.
const (
	// DutyBegun: the maintenance has begun, or had begun before.
	DutyBegun DutyResult = "begun"
	// DutyBusy: the host is not up, or is shutting down; nothing was done.
	DutyBusy DutyResult = "busy"
	// DutyFenced: a newer planner has sent orders for the host.
	DutyFenced DutyResult = "fenced"
	// DutyUnknownHost: the host does not exist or does not belong to the wave.
	DutyUnknownHost DutyResult = "foreign"
	// DutyRefused: nothing was done, for example because of a rate limit.
	DutyRefused DutyResult = "refused"
	// DutyUnanswered: the order may have been carried out, or may be later.
	DutyUnanswered DutyResult = "unanswered"
)

// hostPhase is the state of a host in a wave.
type hostPhase int

const (
	// hostPending: nothing has been done yet.
	hostPending hostPhase = iota
	// hostVacating: the host gets no new work, and its runs end or are stopped.
	hostVacating
	// hostOrdered: its order is recorded, and may be carried out at any time.
	hostOrdered
	// hostDown: its maintenance has begun and it is not back yet.
	hostDown
	// hostDone: it is back, or no longer exists.
	hostDone
)

// wave is a wave and its progress.
type wave struct {
	Wave
	sinceMS int64
	phases  map[string]hostPhase
	// begunAt is when each host's maintenance was reported as begun.
	begunAt map[string]time.Time
	// persisted is set for hosts whose order is in the log. inFlight, unconfirmed and notBefore
	// are about the calls that send it.
	persisted   map[string]bool
	inFlight    map[string]bool
	unconfirmed map[string]bool
	notBefore   map[string]time.Time
	// workers are the workers of ordered hosts when their orders were recorded.
	workers map[string]string
	// silentSince is when the first call for a host got no answer since one was answered, silentUntil
	// when the last one did.
	silentSince, silentUntil map[string]time.Time
	dirty                    bool
	complete                 bool
	// reported is the state that was last reported; "" is none.
	reported WaveState
}

// WaveState is the reported state of a wave.
type WaveState string

// The states of waves.
const (
	WaveActive    WaveState = "active"
	WaveCompleted WaveState = "completed"
)

// waveRecord is a wave's record in the log, for a successor.
type waveRecord struct {
	SinceMS int64 `json:"since"`
	// Ordered hosts may go down at any time. The maintenance of Begun ones has begun.
	Ordered []string `json:"ordered,omitempty"`
	Begun   []string `json:"begun,omitempty"`
	// Workers are the workers of ordered hosts.
	Workers  map[string]string `json:"workers,omitempty"`
	Complete bool              `json:"complete,omitempty"`
}

const (
	wavePrefix = "w/"
	// dutyMargin is the time per host, in addition to its maintenance, for the order, its answer
	// and the list update.
	dutyMargin = time.Second
	// dutyRetryPause is the pause before an order is repeated.
	dutyRetryPause = 500 * time.Millisecond
)

// WaveKey returns the key of a wave's record.
func WaveKey(id int64) string { return fmt.Sprintf("%s%d", wavePrefix, id) }

// IsWaveKey reports whether a key is that of a wave's record.
func IsWaveKey(key string) bool {
	return len(key) > len(wavePrefix) && key[:len(wavePrefix)] == wavePrefix
}

// AdoptWave adds a declared wave, with the record that an earlier planner has left of it, or nil.
func (c *Core) AdoptWave(declared Wave, record []byte, wallMS int64) {
	if c.waves[declared.ID] != nil {
		return
	}
	v := &wave{
		Wave: declared, sinceMS: wallMS, phases: map[string]hostPhase{}, begunAt: map[string]time.Time{}, persisted: map[string]bool{},
		inFlight: map[string]bool{}, unconfirmed: map[string]bool{}, notBefore: map[string]time.Time{}, dirty: true,
		workers: map[string]string{}, silentSince: map[string]time.Time{}, silentUntil: map[string]time.Time{},
	}
	previous := waveRecord{}
	if len(record) > 0 && json.Unmarshal(record, &previous) == nil {
		v.sinceMS = previous.SinceMS
		v.complete = previous.Complete
		v.dirty = false
	}
	for _, host := range previous.Ordered {
		v.phases[host] = hostOrdered
		v.persisted[host] = true
		v.unconfirmed[host] = true
		v.workers[host] = previous.Workers[host]
	}
	for _, host := range previous.Begun {
		v.phases[host] = hostDown
	}
	c.waves[declared.ID] = v
	c.emit(Event{Name: EventWaveTaken, Detail: fmt.Sprintf("wave=%d hosts=%d most=%d within_ms=%d", v.ID, len(v.Hosts), v.MaxDown, v.Within.Milliseconds())})
}

// SetHosts replaces the host list by one that was requested at the given time.
func (c *Core) SetHosts(list []HostListing, requested time.Time) {
	c.hosts = make(map[string]HostListing, len(list))
	for _, h := range list {
		c.hosts[h.Host] = h
	}
	c.hostsReadAt = requested
	for _, id := range sortedKeys(c.waves) {
		v := c.waves[id]
		for _, host := range v.Hosts {
			v.updateHost(host, c.hosts, requested)
			v.resumeOrder(host, requested)
		}
	}
}

// updateHost updates the phase of a host from the host list.
func (v *wave) updateHost(host string, hosts map[string]HostListing, requested time.Time) {
	h, exists := hosts[host]
	switch {
	case !exists && !v.unconfirmed[host]:
		v.phases[host] = hostDone
	case v.phases[host] == hostDown && h.Up && requested.After(v.begunAt[host]):
		v.phases[host] = hostDone
	}
}

// NeedsHosts reports whether the host list should be read now.
func (c *Core) NeedsHosts(now time.Time) bool {
	interval := max(c.bounds.Maintenance/4, dutyRetryPause/2)
	if now.Sub(c.hostsReadAt) < interval {
		return false
	}
	for _, v := range c.waves {
		if !v.complete || v.downCount() > 0 {
			return true
		}
	}
	return false
}

// downCount counts the hosts that are down for the wave, or may go down at any time.
func (v *wave) downCount() int {
	n := 0
	for _, p := range v.phases {
		if p == hostOrdered || p == hostDown {
			n++
		}
	}
	return n
}

// advanceWaves advances all waves.
func (c *Core) advanceWaves(now time.Time) {
	c.vacating = map[string]bool{}
	budget := c.newDisruptionBudget(now)
	for _, id := range sortedKeys(c.waves) {
		v := c.waves[id]
		if v.complete {
			continue
		}
		if !c.hostsReadAt.IsZero() {
			c.chooseHosts(v, now)
		}
		for _, host := range v.Hosts {
			switch v.phases[host] {
			case hostVacating:
				c.vacate(v, host, budget, now)
			case hostOrdered:
				c.keepVacated(v, host, budget, now)
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
		if v.phases[host] < hostDown {
			return false
		}
	}
	return true
}

// chooseHosts selects the hosts to vacate, those with the least lost work first: as many as may
// be down at once, and as many again if time is short.
func (c *Core) chooseHosts(v *wave, now time.Time) {
	open := v.MaxDown - v.downCount()
	if c.slack(v, now) <= 0 {
		open += v.MaxDown
	}
	var waiting []string
	for _, host := range v.Hosts {
		switch {
		case v.phases[host] == hostVacating:
			open--
		case v.phases[host] == hostPending && c.hosts[host].Up && !now.Before(v.notBefore[host]):
			waiting = append(waiting, host)
		}
	}
	slices.SortStableFunc(waiting, func(a, b string) int {
		return cmp.Compare(c.lostWorkOn(a, now), c.lostWorkOn(b, now))
	})
	for _, host := range waiting[:max(0, min(open, len(waiting)))] {
		v.phases[host] = hostVacating
		c.emit(Event{Name: EventHostVacated, Worker: c.hosts[host].Worker, Detail: fmt.Sprintf("wave=%d host=%s", v.ID, host)})
	}
}

// slack returns the time that is left of the wave beyond what the maintenance of its remaining
// hosts takes.
func (c *Core) slack(v *wave, now time.Time) time.Duration {
	left := 0
	for _, host := range v.Hosts {
		if v.phases[host] < hostDown {
			left++
		}
	}
	rounds := (left + max(v.MaxDown, 1) - 1) / max(v.MaxDown, 1)
	elapsed := time.Duration(c.wallMS-v.sinceMS) * time.Millisecond
	return v.Within - elapsed - time.Duration(rounds)*(c.bounds.Maintenance+dutyMargin)
}

// lostWorkOn returns the work in core-seconds that is lost if a host goes down.
func (c *Core) lostWorkOn(host string, now time.Time) float64 {
	w := c.workers[c.hosts[host].Worker]
	if w == nil {
		return 0
	}
	sum := 0.0
	for _, r := range w.runs {
		sum += c.lostWork(r, now)
	}
	return sum
}

// vacate keeps new work off a host, stops runs that would not end in time, and orders the
// maintenance once the host is empty.
func (c *Core) vacate(v *wave, host string, budget *disruptionBudget, now time.Time) {
	id := c.hosts[host].Worker
	c.vacating[id] = true
	w := c.workers[id]
	c.stopOutlasting(v, w, budget, now)
	if w.isVacated() && v.downCount() < v.MaxDown {
		v.phases[host] = hostOrdered
		v.workers[host] = id
		v.dirty = true
		if w != nil {
			c.maintained[id] = true
		}
	}
}

// stopOutlasting stops the runs of a worker that would not end before its host's maintenance.
func (c *Core) stopOutlasting(v *wave, w *worker, budget *disruptionBudget, now time.Time) {
	if w == nil {
		return
	}
	slack := c.slack(v, now)
	for _, r := range w.sortedRuns() {
		if !r.stopping && !r.settled && c.outlasts(r, slack, now) && budget.take(r) {
			c.stopForMaintenance(r, now)
		}
	}
}

// addWaveRecords appends the records of the waves that have changed.
func (c *Core) addWaveRecords(out []Record) []Record {
	for _, id := range sortedKeys(c.waves) {
		v := c.waves[id]
		if !v.dirty {
			continue
		}
		v.dirty = false
		record := waveRecord{SinceMS: v.sinceMS, Complete: v.complete}
		for _, host := range v.Hosts {
			switch v.phases[host] {
			case hostOrdered:
				record.Ordered = append(record.Ordered, host)
				record.addWorker(host, v.workers[host])
				c.unpersistedDuties = append(c.unpersistedDuties, DutyOrder{Host: host, Wave: id, Token: c.token})
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

// markWavesPersisted releases the orders that are in the log now.
func (c *Core) markWavesPersisted() {
	for _, o := range c.unpersistedDuties {
		if v := c.waves[o.Wave]; v.phases[o.Host] == hostOrdered {
			v.persisted[o.Host] = true
		}
	}
	c.unpersistedDuties = nil
}

// DutyOrders returns the orders that are due. A new planner sends none until the duty lease of its
// predecessor must have expired.
func (c *Core) DutyOrders(now time.Time) []DutyOrder {
	var out []DutyOrder
	if now.Before(c.dutiesAllowedFrom) {
		return nil
	}
	for _, id := range sortedKeys(c.waves) {
		v := c.waves[id]
		for _, host := range v.Hosts {
			if v.phases[host] != hostOrdered || !v.persisted[host] || v.inFlight[host] || now.Before(v.notBefore[host]) || v.isPaused(host, now) || !c.isHostVacated(v, host) {
				continue
			}
			v.inFlight[host] = true
			out = append(out, DutyOrder{Host: host, Wave: id, Token: c.token})
		}
	}
	return out
}

// HandleDutyAnswer handles the answer to a DutyOrder.
func (c *Core) HandleDutyAnswer(o DutyOrder, result DutyResult, now time.Time) {
	v := c.waves[o.Wave]
	if v == nil {
		return
	}
	v.inFlight[o.Host] = false
	v.notBefore[o.Host] = now.Add(dutyRetryPause)
	c.emit(Event{Name: EventDutyAnswered, Reason: string(result), Detail: fmt.Sprintf("wave=%d host=%s", o.Wave, o.Host)})
	v.recordSilence(o.Host, result == DutyUnanswered, now)
	switch result {
	case DutyBegun:
		v.phases[o.Host] = hostDown
		v.begunAt[o.Host] = now
		v.unconfirmed[o.Host] = false
		v.dirty = true
	case DutyFenced:
		c.deposed = true
	case DutyUnknownHost:
		v.phases[o.Host] = hostDone
		v.dirty = true
	case DutyUnanswered:
		v.unconfirmed[o.Host] = true
	case DutyBusy, DutyRefused:
		if !v.unconfirmed[o.Host] {
			v.phases[o.Host] = hostPending
			v.persisted[o.Host] = false
			v.dirty = true
		}
	}
}

// WaveReport is a state of a wave to report.
type WaveReport struct {
	ID    int64
	State WaveState
}

// WaveReports lists the states that have not been reported yet.
func (c *Core) WaveReports() []WaveReport {
	var out []WaveReport
	for _, id := range sortedKeys(c.waves) {
		v := c.waves[id]
		if v.reported != v.state() {
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

// WaveReported records that a state was reported.
func (c *Core) WaveReported(r WaveReport) {
	if v := c.waves[r.ID]; v != nil {
		v.reported = r.State
	}
}
