// Package peer implements calls between instances: JSON-RPC 2.0 over TCP, one
// message per line. Both sides prove that they have the shared secret before any
// other call is answered; the secret itself is never sent.
package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/channel"
	"github.com/creachadair/jrpc2/handler"
)

// Methods of the handshake.
const (
	methodChallenge = "peer.challenge"
	methodProve     = "peer.prove"
)

// ErrSecretMismatch is returned when the other side does not have the same shared secret.
var ErrSecretMismatch = errors.New("the peer does not have the shared secret: configure the same peer_secret_file on both sides")

type challenge struct {
	Nonce string `json:"nonce"`
}

type proof struct {
	Proof string `json:"proof"`
}

func newNonce() string {
	raw := make([]byte, 16)
	// crypto/rand.Read never returns an error; it crashes the program instead.
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

func computeProof(secret []byte, role, nonce string) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(role + "|" + nonce))
	return hex.EncodeToString(mac.Sum(nil))
}

func verifyProof(secret []byte, role, nonce, received string) bool {
	return hmac.Equal([]byte(computeProof(secret, role, nonce)), []byte(received))
}

// Counters count the bytes received from and sent to peers.
type Counters struct {
	In, Out atomic.Int64
}

type countingConn struct {
	net.Conn
	counters *Counters
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.In.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.Out.Add(int64(n))
	return n, err
}

// Server answers calls of peers.
type Server struct {
	secret   []byte
	methods  handler.Map
	counters *Counters
	wg       sync.WaitGroup
	// OnClosed, if set, is called with the reason for each connection that is closed before its
	// peer has proved that it has the secret. It must be set before Serve is called.
	OnClosed func(reason string)
}

// Limits of a connection whose peer has not proved yet that it has the secret.
const (
	handshakeTimeout  = 5 * time.Second
	maxHandshakeBytes = 16 << 10
)

// Reasons for closing a connection during the handshake.
const (
	closedTooLong = "handshake-size"
	closedTooLate = "handshake-timeout"
)

var errHandshakeTooLong = errors.New("the peer has sent too much without proving that it has the shared secret")

// handshakeConn bounds what a peer may send before it has proved that it has the secret.
type handshakeConn struct {
	countingConn
	session  *session
	received int
}

// Read implements net.Conn.
func (c *handshakeConn) Read(p []byte) (int, error) {
	n, err := c.countingConn.Read(p)
	if c.session.hasProved() {
		return n, err
	}
	c.received += n
	if c.received > maxHandshakeBytes {
		c.session.server.closed(closedTooLong)
		return 0, errHandshakeTooLong
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.session.server.closed(closedTooLate)
	}
	return n, err
}

func (s *Server) closed(reason string) {
	if s.OnClosed != nil {
		s.OnClosed(reason)
	}
}

// NewServer returns a server for the methods.
func NewServer(secret []byte, methods handler.Map, counters *Counters) *Server {
	return &Server{secret: secret, methods: methods, counters: counters}
}

// Serve accepts and serves connections until the listener is closed, and then
// waits for the open ones to end.
func (s *Server) Serve(ctx context.Context, listener net.Listener) {
	defer s.wg.Wait()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.serve(ctx, countingConn{conn, s.counters})
		}()
	}
}

func (s *Server) serve(ctx context.Context, conn countingConn) {
	_ = conn.SetReadDeadline(time.Now().Add(handshakeTimeout)) // the next read reports a closed connection
	session := &session{server: s, conn: conn}
	guarded := &handshakeConn{countingConn: conn, session: session}
	server := jrpc2.NewServer(session, nil).Start(channel.Line(guarded, guarded))
	stop := context.AfterFunc(ctx, server.Stop)
	defer stop()
	_ = server.Wait() // the peer sees the closed connection and dials again
}

// session is one connection. It answers only the handshake until the peer is
// authenticated.
type session struct {
	server *Server
	conn   net.Conn
	mu     sync.Mutex
	nonce  string
	proved bool
}

// Assign implements jrpc2.Assigner.
func (s *session) Assign(ctx context.Context, method string) jrpc2.Handler {
	switch method {
	case methodChallenge:
		return handler.New(s.handleChallenge)
	case methodProve:
		return handler.New(s.handleProve)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.proved {
		return nil
	}
	return s.server.methods.Assign(ctx, method)
}

func (s *session) handleChallenge(_ context.Context, c challenge) (challengeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nonce = newNonce()
	return challengeResponse{Nonce: s.nonce, Proof: computeProof(s.server.secret, "server", c.Nonce)}, nil
}

type challengeResponse struct {
	Nonce string `json:"nonce"`
	Proof string `json:"proof"`
}

func (s *session) handleProve(_ context.Context, p proof) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proved = s.nonce != "" && verifyProof(s.server.secret, "client", s.nonce, p.Proof)
	s.nonce = ""
	if !s.proved {
		return false, ErrSecretMismatch
	}
	return true, s.conn.SetReadDeadline(time.Time{})
}

func (s *session) hasProved() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proved
}

// Pool maintains one connection to each peer. It is safe for concurrent use.
type Pool struct {
	secret   []byte
	counters *Counters

	mu      sync.Mutex
	clients map[string]*jrpc2.Client
	blocked map[string]bool
	delay   func(address string) time.Duration
}

// SetDelay adds a delay to every call to an address; the demo uses it to simulate
// the latency between data centres. It must be called before the first call.
func (p *Pool) SetDelay(delay func(address string) time.Duration) { p.delay = delay }

// NewPool returns a pool that has no connections yet.
func NewPool(secret []byte, counters *Counters) *Pool {
	return &Pool{secret: secret, counters: counters, clients: map[string]*jrpc2.Client{}, blocked: map[string]bool{}}
}

// dialTimeout bounds the dial and, separately, the handshake of a connection.
const dialTimeout = time.Second

// Block makes calls to an address fail until Unblock; tests and the demo use it to
// simulate network partitions.
func (p *Pool) Block(address string) {
	p.mu.Lock()
	p.blocked[address] = true
	p.mu.Unlock()
	p.closeClient(address, nil)
}

// Unblock reverts Block for all addresses.
func (p *Pool) Unblock() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = map[string]bool{}
}

// Call calls a method of the peer at an address.
func (p *Pool) Call(ctx context.Context, address, method string, params, result any) error {
	if p.delay != nil {
		time.Sleep(p.delay(address))
	}
	client, err := p.client(ctx, address)
	if err != nil {
		return err
	}
	err = client.CallResult(ctx, method, params, result)
	var rpcErr *jrpc2.Error
	if err != nil && !errors.As(err, &rpcErr) {
		p.closeClient(address, client)
	}
	return err
}

func (p *Pool) client(ctx context.Context, address string) (*jrpc2.Client, error) {
	p.mu.Lock()
	client, ok := p.clients[address]
	blocked := p.blocked[address]
	p.mu.Unlock()
	if blocked {
		return nil, errors.Newf("calls to %s are blocked", address)
	}
	if ok {
		return client, nil
	}
	client, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if other, ok := p.clients[address]; ok {
		_ = client.Close() // a concurrent call connected first
		return other, nil
	}
	p.clients[address] = client
	return client, nil
}

func (p *Pool) dial(ctx context.Context, address string) (*jrpc2.Client, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	counted := countingConn{conn, p.counters}
	client := jrpc2.NewClient(channel.Line(counted, counted), nil)
	handshakeCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := p.handshake(handshakeCtx, client); err != nil {
		_ = client.Close() // the handshake's error is more informative
		return nil, err
	}
	return client, nil
}

func (p *Pool) handshake(ctx context.Context, client *jrpc2.Client) error {
	nonce := newNonce()
	var response challengeResponse
	if err := client.CallResult(ctx, methodChallenge, challenge{Nonce: nonce}, &response); err != nil {
		return errors.Wrap(err, "send challenge to peer")
	}
	if !verifyProof(p.secret, "server", nonce, response.Proof) {
		return ErrSecretMismatch
	}
	var ok bool
	err := client.CallResult(ctx, methodProve, proof{Proof: computeProof(p.secret, "client", response.Nonce)}, &ok)
	return errors.Wrap(err, "send proof to peer")
}

// closeClient closes the connection to an address and removes it from the pool; if
// client is not nil, only if it is still the current one.
func (p *Pool) closeClient(address string, client *jrpc2.Client) {
	p.mu.Lock()
	current, ok := p.clients[address]
	if ok && (client == nil || current == client) {
		delete(p.clients, address)
	}
	p.mu.Unlock()
	if ok && (client == nil || current == client) {
		_ = current.Close() // it is not used again
	}
}

// Close ends all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	clients := p.clients
	p.clients = map[string]*jrpc2.Client{}
	p.mu.Unlock()
	for _, client := range clients {
		_ = client.Close() // it is not used again
	}
}
