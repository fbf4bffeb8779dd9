// Package inbound bounds what clients can make a process hold, whatever their number and
// behaviour: open connections, and the memory of requests that have not been answered.
//
// Every connection and every byte of a request is charged to a Gate. When a new connection or
// another byte would exceed a limit, the Gate closes connections whose requests have not
// arrived in full, the oldest first. A request that is being served is never closed for that, so
// once all memory is held by such requests, further ones are refused.
package inbound

import (
	"container/list"
	"sync"
	"time"
)

// Limits are the limits of a Gate.
type Limits struct {
	// Connections bounds the number of open connections.
	Connections int
	// RequestBytes bounds the memory of all requests together that have not been answered.
	RequestBytes int64
	// HeaderBytes bounds the headers of one request.
	HeaderBytes int
	// HeaderTimeout, BodyTimeout and WriteTimeout bound how long the headers and the body of a
	// request, and one write of its answer, may take; IdleTimeout bounds the time between requests.
	HeaderTimeout, BodyTimeout, WriteTimeout, IdleTimeout time.Duration
}

// Reason is why a connection was closed. It is used as a metric label.
type Reason string

// Reasons for closing a connection.
const (
	// ConnectionLimit means that a new connection needed the place, or had none.
	ConnectionLimit Reason = "connection-limit"
	// MemoryLimit means that another request needed the memory, or that the connection's own
	// request had none.
	MemoryLimit Reason = "request-memory"
	// HeaderLimit means that a request's headers were larger than allowed.
	HeaderLimit Reason = "header-size"
	// HeaderTimeout, BodyTimeout, WriteTimeout and IdleTimeout mean that a time limit passed.
	HeaderTimeout Reason = "header-timeout"
	BodyTimeout   Reason = "body-timeout"
	WriteTimeout  Reason = "write-timeout"
	IdleTimeout   Reason = "idle-timeout"
)

const (
	// stallTime is how long a client may pause within a request before its connection may be
	// closed in favour of a large request.
	stallTime = 500 * time.Millisecond
	// smallRequestBytes is the memory up to which a request may displace any unfinished one. A
	// larger one displaces only stalled ones, so that large requests don't close each other.
	smallRequestBytes = 32 << 10
	// headerFieldBytes is the memory of a header field beside its text.
	headerFieldBytes = 160
	// bodyFactor is how many times its size a body takes: the bytes read, and what is made of them.
	bodyFactor = 2
)

// Gate enforces limits on the connections of one or more listeners. It is safe for concurrent
// use.
type Gate struct {
	limits Limits
	// count is called for each connection that is closed for one of the reasons.
	count func(Reason)

	mu   sync.Mutex
	open int
	held int64
	// waiting are the connections that may be closed to make room, by the start of their phase.
	waiting list.List
	// writing are the connections with a write in progress, by its start.
	writing list.List
}

// NewGate returns a gate. count is called for each connection that the gate closes.
func NewGate(limits Limits, count func(Reason)) *Gate { return &Gate{limits: limits, count: count} }

// SetLimits replaces the limits on connections and on the memory of requests. The other limits
// stay as they are.
func (g *Gate) SetLimits(limits Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits.Connections, g.limits.RequestBytes = limits.Connections, limits.RequestBytes
}

// Usage returns the number of open connections and the bytes that requests hold.
func (g *Gate) Usage() (connections int, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open, g.held
}

// countClosed counts a connection that its server closes for one of the reasons.
func (g *Gate) countClosed(reason Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count(reason)
}

// admit registers a new connection, or returns false if there is no place for it.
func (g *Gate) admit(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.open >= g.limits.Connections && !g.makePlace(now) {
		return false
	}
	g.open++
	c.phase = idle
	g.wait(c, now)
	return true
}

// reserveShare is the part of the connection limit by which it may be exceeded while all
// connections are busy. Until it is met again, connections are closed after their answers.
const reserveShare = 0.125

// makePlace closes a connection for a new one. If none may be closed, it uses the reserve, and
// returns false once that is used up.
func (g *Gate) makePlace(now time.Time) bool {
	if victim := g.oldest(now); victim != nil {
		g.count(ConnectionLimit)
		g.drop(victim)
		return true
	}
	if g.open <= g.limits.Connections+int(reserveShare*float64(g.limits.Connections)) {
		return true
	}
	g.count(ConnectionLimit)
	return false
}

// answered makes a connection idle, or closes it if there are too many.
func (g *Gate) answered(c *conn) {
	if g.open > g.limits.Connections {
		g.count(ConnectionLimit)
		g.drop(c)
		return
	}
	g.release(c)
	g.wait(c, time.Now())
}

// oldest returns the connection to close for a new one, or nil.
func (g *Gate) oldest(now time.Time) *conn {
	if front := g.waiting.Front(); front != nil {
		return front.Value.(*conn)
	}
	if front := g.writing.Front(); front != nil {
		if c := front.Value.(*conn); now.Sub(c.writeStart) > stallTime {
			return c
		}
	}
	return nil
}

// reserve charges bytes to a connection's request, and makes room for them if necessary.
func (g *Gate) reserve(c *conn, bytes int64, now time.Time) bool {
	for g.held+bytes > g.limits.RequestBytes {
		victim := g.displaceable(c, c.held+bytes, now)
		if victim == nil {
			return false
		}
		g.count(MemoryLimit)
		g.drop(victim)
	}
	g.held += bytes
	c.held += bytes
	return true
}

// displaceable returns the oldest unfinished request that may be closed for the request of c,
// which holds the given bytes in total, or nil.
func (g *Gate) displaceable(c *conn, bytes int64, now time.Time) *conn {
	for e := g.waiting.Front(); e != nil; e = e.Next() {
		other := e.Value.(*conn)
		if other == c || other.held == 0 {
			continue
		}
		if bytes <= smallRequestBytes || now.Sub(other.lastRead) > stallTime {
			return other
		}
	}
	return nil
}

// drop closes a connection and forgets what it holds.
func (g *Gate) drop(c *conn) {
	g.forget(c)
	_ = c.Conn.Close() // its goroutine sees the error
}

// forget removes a connection from all accounts.
func (g *Gate) forget(c *conn) {
	if c.phase == closed {
		return
	}
	g.leave(c)
	g.written(c)
	g.release(c)
	c.phase = closed
	g.open--
}

func (g *Gate) release(c *conn) {
	g.held -= c.held
	c.held = 0
}

// wait makes a connection one that may be closed to make room, as the youngest.
func (g *Gate) wait(c *conn, now time.Time) {
	g.leave(c)
	c.lastRead = now
	c.waiting = g.waiting.PushBack(c)
}

func (g *Gate) leave(c *conn) {
	if c.waiting != nil {
		g.waiting.Remove(c.waiting)
		c.waiting = nil
	}
}

func (g *Gate) written(c *conn) {
	if c.writing != nil {
		g.writing.Remove(c.writing)
		c.writing = nil
	}
}
