package peer

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/channel"
	"github.com/creachadair/jrpc2/handler"
)

func serve(t *testing.T, secret string) (address string, calls *int) {
	t.Helper()
	calls = new(int)
	methods := handler.Map{"echo": handler.New(func(_ context.Context, words []string) (string, error) {
		*calls++
		return words[0], nil
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		NewServer([]byte(secret), methods, &Counters{}).Serve(ctx, listener)
	}()
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
		<-done
	})
	return listener.Addr().String(), calls
}

func call(t *testing.T, secret, address string) (string, error) {
	t.Helper()
	pool := NewPool([]byte(secret), &Counters{})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var answer string
	err := pool.Call(ctx, address, "echo", []string{"hello"}, &answer)
	return answer, err
}

func TestOnlyHoldersOfTheSecretAreAnswered(t *testing.T) {
	address, calls := serve(t, "the-right-secret")
	if answer, err := call(t, "the-right-secret", address); err != nil || answer != "hello" {
		t.Errorf("call with the secret: answer %q, error %v", answer, err)
	}
	if _, err := call(t, "another-secret", address); !errors.Is(err, ErrSecretMismatch) {
		t.Errorf("call with another secret: error %v, want ErrSecretMismatch", err)
	}
	if *calls != 1 {
		t.Errorf("%d calls were served, want 1", *calls)
	}
}

func TestCallsBeforeTheProofAreNotServed(t *testing.T) {
	address, calls := serve(t, "the-right-secret")
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	client := jrpc2.NewClient(channel.Line(conn, conn), nil)
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var answer string
	if err := client.CallResult(ctx, "echo", []string{"hello"}, &answer); err == nil {
		t.Error("a call before the proof was served")
	}
	var ok bool
	if err := client.CallResult(ctx, methodProve, proof{Proof: "made up"}, &ok); err == nil {
		t.Error("an invalid proof was accepted")
	}
	if err := client.CallResult(ctx, "echo", []string{"hello"}, &answer); err == nil || *calls != 0 {
		t.Error("a call after an invalid proof was served")
	}
}

func TestBlockedAddressIsNotReachedUntilItIsUnblocked(t *testing.T) {
	address, _ := serve(t, "the-right-secret")
	pool := NewPool([]byte("the-right-secret"), &Counters{})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var answer string
	pool.Block(address)
	if err := pool.Call(ctx, address, "echo", []string{"hello"}, &answer); err == nil {
		t.Error("a call to a blocked address succeeded")
	}
	pool.Unblock()
	if err := pool.Call(ctx, address, "echo", []string{"hello"}, &answer); err != nil {
		t.Errorf("a call after unblocking failed: %v", err)
	}
}

// recordingListener records the read deadlines of the connections that it accepts.
type recordingListener struct {
	net.Listener
	deadlines chan time.Time
}

type recordingConn struct {
	net.Conn
	deadlines chan time.Time
}

func (l recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return recordingConn{conn, l.deadlines}, err
}

func (c recordingConn) SetReadDeadline(t time.Time) error {
	c.deadlines <- t
	return c.Conn.SetReadDeadline(t)
}

// Guards against connections that are kept open without a handshake, and against a time limit on
// the handshake that ends the connections of peers.
func TestHandshakeHasATimeLimitThatEndsWithIt(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := recordingListener{inner, make(chan time.Time, 10)}
	methods := handler.Map{"echo": handler.New(func(_ context.Context, words []string) (string, error) { return words[0], nil })}
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(done)
		NewServer([]byte("the-right-secret"), methods, &Counters{}).Serve(ctx, listener)
	}()
	if answer, err := call(t, "the-right-secret", inner.Addr().String()); err != nil || answer != "hello" {
		t.Errorf("answer %q, error %v", answer, err)
	}
	cancel()
	_ = inner.Close()
	<-done
	close(listener.deadlines)
	var set []time.Time
	for deadline := range listener.deadlines {
		set = append(set, deadline)
	}
	if len(set) != 2 || set[0].IsZero() || !set[1].IsZero() {
		t.Errorf("read deadlines %v, want one for the handshake and then none", set)
	}
}

// Guards against memory that is held for messages whose sender has not proved that it is a peer.
func TestConnectionIsClosedForTooLongAHandshake(t *testing.T) {
	address, calls := serve(t, "the-right-secret")
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	message := append([]byte(`{"jsonrpc":"2.0","id":1,"method":"echo","params":["`), bytes.Repeat([]byte("x"), 4*maxHandshakeBytes)...)
	_, _ = conn.Write(message) // the server may close the connection before all is sent
	if n, err := conn.Read(make([]byte, 1)); err == nil {
		t.Errorf("read %d bytes, want a closed connection", n)
	}
	if *calls != 0 {
		t.Errorf("%d calls were made", *calls)
	}
}
