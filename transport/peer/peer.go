// Package peer carries calls between instances: jsonrpc2 over TCP, one line a
// message. Both sides prove that they hold the peers' shared secret before
// anything else is answered; the secret itself is never sent.
package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/channel"
	"github.com/creachadair/jrpc2/handler"
)

// The methods of the handshake.
const (
	methodChallenge = "peer.challenge"
	methodProve     = "peer.prove"
)

// ErrSecret says that the other side does not hold the shared secret.
var ErrSecret = errors.New("the peer does not hold the shared secret: give both sides the same peer_secret_file")

type challenge struct {
	Nonce string `json:"nonce"`
}

type proof struct {
	Proof string `json:"proof"`
}

func newNonce() string {
	raw := make([]byte, 16)
	// crypto/rand.Read never fails: it ends the program instead.
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

func prove(secret []byte, role, nonce string) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(role + "|" + nonce))
	return hex.EncodeToString(mac.Sum(nil))
}

func proves(secret []byte, role, nonce, given string) bool {
	return hmac.Equal([]byte(prove(secret, role, nonce)), []byte(given))
}

// Counters are the bytes that crossed peers' sockets.
type Counters struct {
	In, Out atomic.Int64
}

type countedConn struct {
	net.Conn
	counters *Counters
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.In.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.Out.Add(int64(n))
	return n, err
}

// Server answers peers' calls.
type Server struct {
	secret   []byte
	methods  handler.Map
	counters *Counters
	wg       sync.WaitGroup
}

// NewServer returns a server of the methods.
func NewServer(secret []byte, methods handler.Map, counters *Counters) *Server {
	return &Server{secret: secret, methods: methods, counters: counters}
}

// Serve answers connections until the listener is closed.
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
			s.serve(ctx, countedConn{conn, s.counters})
		}()
	}
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	session := &session{server: s}
	server := jrpc2.NewServer(session, nil).Start(channel.Line(conn, conn))
	stop := context.AfterFunc(ctx, server.Stop)
	defer stop()
	_ = server.Wait() // the peer notices and dials again
}

// session is one connection; it answers only the handshake until the peer has
// proved itself.
type session struct {
	server *Server
	mu     sync.Mutex
	nonce  string
	proved bool
}

// Assign implements jrpc2.Assigner.
func (s *session) Assign(ctx context.Context, method string) jrpc2.Handler {
	switch method {
	case methodChallenge:
		return handler.New(s.challenge)
	case methodProve:
		return handler.New(s.prove)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.proved {
		return nil
	}
	return s.server.methods.Assign(ctx, method)
}

func (s *session) challenge(_ context.Context, c challenge) (challengeAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nonce = newNonce()
	return challengeAnswer{Nonce: s.nonce, Proof: prove(s.server.secret, "server", c.Nonce)}, nil
}

type challengeAnswer struct {
	Nonce string `json:"nonce"`
	Proof string `json:"proof"`
}

func (s *session) prove(_ context.Context, p proof) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proved = s.nonce != "" && proves(s.server.secret, "client", s.nonce, p.Proof)
	s.nonce = ""
	if !s.proved {
		return false, ErrSecret
	}
	return true, nil
}

// Pool keeps one connection to each peer. Safe for concurrent use.
type Pool struct {
	secret   []byte
	counters *Counters

	mu      sync.Mutex
	clients map[string]*jrpc2.Client
	blocked map[string]bool
	delay   func(address string) time.Duration
}

// SetDelay makes every call to an address take longer; the demo plays the
// distance between data centres with it. Set it before the first call.
func (p *Pool) SetDelay(delay func(address string) time.Duration) { p.delay = delay }

// NewPool returns a pool without connections.
func NewPool(secret []byte, counters *Counters) *Pool {
	return &Pool{secret: secret, counters: counters, clients: map[string]*jrpc2.Client{}, blocked: map[string]bool{}}
}

// dialTimeout bounds a connection's setting up.
const dialTimeout = time.Second

// Block makes calls to an address fail, and Unblock lets them through again;
// tests and the demo cut networks with them.
func (p *Pool) Block(address string) {
	p.mu.Lock()
	p.blocked[address] = true
	p.mu.Unlock()
	p.drop(address, nil)
}

// Unblock undoes Block for all addresses.
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
		p.drop(address, client)
	}
	return err
}

func (p *Pool) client(ctx context.Context, address string) (*jrpc2.Client, error) {
	p.mu.Lock()
	client, ok := p.clients[address]
	blocked := p.blocked[address]
	p.mu.Unlock()
	if blocked {
		return nil, errors.Newf("no route to %s", address)
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
		_ = client.Close() // another call was first
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
	counted := countedConn{conn, p.counters}
	client := jrpc2.NewClient(channel.Line(counted, counted), nil)
	handshakeCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := p.handshake(handshakeCtx, client); err != nil {
		_ = client.Close() // the handshake's error says more
		return nil, err
	}
	return client, nil
}

func (p *Pool) handshake(ctx context.Context, client *jrpc2.Client) error {
	own := newNonce()
	var answer challengeAnswer
	if err := client.CallResult(ctx, methodChallenge, challenge{Nonce: own}, &answer); err != nil {
		return errors.Wrap(err, "challenge peer")
	}
	if !proves(p.secret, "server", own, answer.Proof) {
		return ErrSecret
	}
	var ok bool
	err := client.CallResult(ctx, methodProve, proof{Proof: prove(p.secret, "client", answer.Nonce)}, &ok)
	return errors.Wrap(err, "prove to peer")
}

func (p *Pool) drop(address string, client *jrpc2.Client) {
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
