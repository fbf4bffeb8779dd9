package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maintenanceTime is how long a machine is down for its upkeep.
const maintenanceTime = 2 * time.Second

// cloud is the platform's machine service.
type cloud struct {
	pool   *pool
	record *recorder

	mu     sync.Mutex
	tokens map[int]int64
	// unanswered is the number of upkeep calls that are still to be left without an answer, and
	// without effect.
	unanswered int
}

// ServeHTTP implements http.Handler.
func (c *cloud) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/machines" {
		c.list(out)
		return
	}
	c.upkeep(out, r)
}

func (c *cloud) list(out http.ResponseWriter) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	rows := []map[string]any{}
	for _, m := range c.pool.machines {
		id := m.life.id
		if m.state != "up" {
			id = ""
		}
		rows = append(rows, map[string]any{"machine": machineName(m.index), "pool": poolName, "state": m.state, "zone": "north-depot", "labels": []string{"a", c.pool.rack(m)}, "id": id})
	}
	reply(out, http.StatusOK, map[string]any{"machines": rows, "next_token": nil})
}

func machineName(index int) string { return "m-" + strconv.Itoa(index) }

func (c *cloud) upkeep(out http.ResponseWriter, r *http.Request) {
	call := struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}{}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	silent := c.unanswered > 0
	if silent {
		c.unanswered--
	}
	c.mu.Unlock()
	if silent {
		c.record.write("cloud: %s of %s for wave %d gets no answer", wire("upkeep call"), call.Machine, call.Wave)
		<-r.Context().Done()
		return
	}
	token, _ := strconv.ParseInt(r.Header.Get(wire("token header")), 10, 64)
	status, reason := c.begin(call.Machine, call.Wave, token)
	c.record.write("cloud: %s of %s for wave %d with token %d: %d %s", wire("upkeep call"), call.Machine, call.Wave, token, status, reason)
	reply(out, status, map[string]string{"reason": reason})
}

func (c *cloud) begin(name string, wave, token int64) (int, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tokens == nil {
		c.tokens = map[int]int64{}
	}
	for _, m := range c.pool.machines {
		if machineName(m.index) != name {
			continue
		}
		c.pool.mu.Lock()
		state, done := m.state, m.waves[wave]
		c.pool.mu.Unlock()
		switch {
		case token < c.tokens[m.index]:
			return http.StatusConflict, "fence"
		case done:
			return http.StatusOK, ""
		case state != "up":
			return http.StatusConflict, "busy"
		}
		c.tokens[m.index] = token
		c.pool.beginUpkeep(m, wave)
		return http.StatusOK, ""
	}
	return http.StatusBadRequest, ""
}

// beginUpkeep ends what runs on a machine, whose next minion joins after the upkeep.
func (p *pool) beginUpkeep(m *machine, wave int64) {
	p.mu.Lock()
	m.state, m.waves[wave] = "upkeep", true
	p.upkeeps[m.life.id] = time.Now()
	p.mu.Unlock()
	p.crash(m)
	p.mu.Lock()
	m.life.removed = true
	p.store.Put(wire("minions topic"), m.life.id, nil)
	p.mu.Unlock()
	time.AfterFunc(maintenanceTime, func() {
		if p.restart(m) == nil {
			p.mu.Lock()
			m.state = "up"
			p.mu.Unlock()
		}
	})
}
