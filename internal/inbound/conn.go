package inbound

import (
	"bytes"
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// receiveBuffer is the size of a connection's receive buffer in bytes. What the operating system
// holds for connections that are not read is this times their number.
const receiveBuffer = 16 << 10

// headerSlack is how much more than its limit of the headers net/http reads.
const headerSlack = 4 << 10

// phase is how far a connection's request has got.
type phase int

const (
	// idle: nothing of the next request has arrived.
	idle phase = iota
	receivingHeaders
	receivingBody
	serving
	// ending: the answer is written, and the connection is closed once the client has read it.
	ending
	closed
)

// conn is a connection that is charged to a gate. All fields but Conn are guarded by gate.mu.
type conn struct {
	net.Conn
	gate     *Gate
	phase    phase
	lastRead time.Time
	// held is the memory of the request in progress, headerBytes the size of its headers so far.
	held        int64
	headerBytes int
	waiting     *list.Element
	writing     *list.Element
	writeStart  time.Time
}

// ErrNoMemory means that the memory for requests is held by others. Nothing was done.
var ErrNoMemory = errors.New("the memory for requests is in use: come back later")

// Listen listens on an address with small receive buffers.
func (g *Gate) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Without it the listener works as well, with larger buffers.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: inner, gate: g}, nil
}

// listener charges the connections that it accepts to a gate.
type listener struct {
	net.Listener
	gate *Gate
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, gate: l.gate}
		if l.gate.admit(c) {
			return c, nil
		}
		_ = inner.Close() // the client connects again
	}
}

// Read implements net.Conn. It charges the headers of a request.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.received(b[:n]) {
		c.refuse()
		return 0, io.EOF
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.timedOut()
	}
	return n, err
}

// received notes what was read. It returns false if there is no memory for it.
func (c *conn) received(b []byte) bool {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	c.lastRead = now
	if c.phase == idle {
		c.phase, c.headerBytes = receivingHeaders, 0
		g.wait(c, now)
	}
	if c.phase != receivingHeaders {
		return true
	}
	c.headerBytes += len(b)
	if c.headerBytes >= g.limits.HeaderBytes+headerSlack {
		g.count(HeaderLimit)
	}
	if g.reserve(c, int64(len(b)+headerFieldBytes*bytes.Count(b, []byte("\n"))), now) {
		return true
	}
	g.count(MemoryLimit)
	return false
}

// refusal is the response to a request whose headers there is no memory for: it never runs.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// refusalTimeout bounds the time for a refusal that is written outside of a handler.
const refusalTimeout = 10 * time.Millisecond

// refuse answers a request that has not arrived in full.
func (c *conn) refuse() {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, refusal) // a client that is gone needs no answer
}

// timedOut counts a read of something else than a body that has taken too long.
func (c *conn) timedOut() {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	switch c.phase {
	case idle:
		c.gate.count(IdleTimeout)
	case receivingHeaders:
		c.gate.count(HeaderTimeout)
	}
}

// Write implements net.Conn. A client that does not read its answer is given WriteTimeout.
func (c *conn) Write(b []byte) (int, error) {
	c.startWrite()
	n, err := c.Conn.Write(b)
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.written(c)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.gate.count(WriteTimeout)
	}
	return n, err
}

func (c *conn) startWrite() {
	now := time.Now()
	_ = c.SetWriteDeadline(now.Add(c.gate.limits.WriteTimeout)) // the write reports a closed connection
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.phase != closed {
		c.writeStart = now
		c.writing = c.gate.writing.PushBack(c)
	}
}

// CloseWrite closes the connection for writing, so that the client receives the answer although
// the rest of its request is not read.
func (c *conn) CloseWrite() error {
	c.setPhase(ending)
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.gate.mu.Lock()
	c.gate.forget(c)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

// setPhase records that the connection's request has got further.
func (c *conn) setPhase(next phase) {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.phase == closed {
		return
	}
	c.phase = next
	switch next {
	case serving:
		g.leave(c)
	case idle:
		g.answered(c)
	case ending:
		g.release(c)
		g.wait(c, time.Now())
	}
}

// charge charges bytes to the connection's request.
func (c *conn) charge(bytes int64) error {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	now := time.Now()
	c.lastRead = now
	if c.phase == closed || !c.gate.reserve(c, bytes, now) {
		return ErrNoMemory
	}
	return nil
}
