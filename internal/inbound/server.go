package inbound

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// Errors of reading a body. After any of them nothing was done.
var (
	ErrTooLarge    = errors.New("the body is too large: send a smaller one")
	ErrBodyTimeout = errors.New("the body took too long: send it again")
)

// unreadBodyTimeout is how long the rest of a body may take that its handler has not read. The
// connection can be used again only if it arrives.
const unreadBodyTimeout = 200 * time.Millisecond

// NewServer returns a server for connections of the gate's listeners.
func (g *Gate) NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: chargeBodies(handler), ReadHeaderTimeout: g.limits.HeaderTimeout, IdleTimeout: g.limits.IdleTimeout, MaxHeaderBytes: g.limits.HeaderBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState: func(c net.Conn, state http.ConnState) {
			if c, ok := c.(*conn); ok && state == http.StateIdle {
				c.setPhase(idle)
			}
		},
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// Charge charges memory to the request of a context until it is answered. It returns ErrNoMemory
// if there is none, and nil for requests that did not come through a gate.
func Charge(ctx context.Context, bytes int64) error {
	if c := connOf(ctx); c != nil {
		return c.charge(bytes)
	}
	return nil
}

// chargeBodies charges the bodies that the handler reads, and bounds the time that they take.
func chargeBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if r.Body == nil || r.Body == http.NoBody {
			c.setPhase(serving)
			next.ServeHTTP(w, r)
			return
		}
		b := &body{ReadCloser: r.Body, conn: c, control: http.NewResponseController(w)}
		b.deadline(c.gate.limits.BodyTimeout)
		c.setPhase(receivingBody)
		r.Body = b
		next.ServeHTTP(w, r)
		if !b.complete {
			b.deadline(unreadBodyTimeout)
		}
	})
}

// body is the body of a request on a connection of a gate.
type body struct {
	io.ReadCloser
	conn    *conn
	control *http.ResponseController
	// complete is set once the body has been read to its end.
	complete bool
}

func (b *body) deadline(after time.Duration) {
	_ = b.control.SetReadDeadline(time.Now().Add(after)) // the next read reports a closed connection
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		if chargeErr := b.conn.charge(int64(n) * bodyFactor); chargeErr != nil {
			b.deadline(0)
			return 0, chargeErr
		}
	}
	switch {
	case errors.Is(err, io.EOF):
		b.finish()
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.conn.gate.countClosed(BodyTimeout)
		return n, ErrBodyTimeout
	}
	return n, err
}

// finish notes that the whole request has arrived: its connection is not closed for others any
// more, and may wait for its answer.
func (b *body) finish() {
	if b.complete {
		return
	}
	b.complete = true
	_ = b.control.SetReadDeadline(time.Time{}) // the next read reports a closed connection
	b.conn.setPhase(serving)
}

// Sizes of the blocks in which a body is read. Each block but the first is at most as large as
// what was read before, so that a client that stops has little memory allocated in advance.
const (
	firstBlock   = 4 << 10
	largestBlock = 64 << 10
)

// ReadBody returns the whole body of a request, or one of ErrTooLarge, ErrNoMemory, ErrBodyTimeout
// and the errors of the connection.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, ErrTooLarge
	}
	var blocks [][]byte
	total := int64(0)
	size := int64(firstBlock)
	if r.ContentLength >= 0 {
		// One byte more, so that the end is seen without another block.
		size = min(size, r.ContentLength+1)
	}
	for {
		block, err := readBlock(r.Body, size)
		total += int64(len(block))
		blocks = append(blocks, block)
		switch {
		case total > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return bytes.Join(blocks, nil), nil
		case err != nil:
			return nil, err
		}
		size = min(largestBlock, total, limit+1-total)
	}
}

// readBlock reads up to size bytes. The error is nil if the block is full.
func readBlock(from io.Reader, size int64) ([]byte, error) {
	block := make([]byte, size)
	filled := 0
	for filled < len(block) {
		n, err := from.Read(block[filled:])
		filled += n
		if err != nil {
			return block[:filled], err
		}
	}
	return block, nil
}
