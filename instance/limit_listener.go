package instance

import (
	"net"
	"sync"
)

// limitListener returns a listener that bounds the number of open connections;
// further ones wait in the operating system's backlog.
func limitListener(inner net.Listener, limit int) net.Listener {
	return &boundedListener{Listener: inner, slots: make(chan struct{}, limit), closed: make(chan struct{})}
}

type boundedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &boundedConn{Conn: conn, release: func() { <-l.slots }}, nil
}

// Close implements net.Listener.
func (l *boundedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type boundedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
