package inbound

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// testLimits are limits that no test meets by accident.
func testLimits() Limits {
	return Limits{Connections: 100, RequestBytes: 1 << 20, HeaderBytes: 16 << 10, HeaderTimeout: time.Minute, BodyTimeout: time.Minute, WriteTimeout: time.Minute, IdleTimeout: time.Minute}
}

// server is a server behind a gate, with counts of why connections were closed.
type server struct {
	t       *testing.T
	gate    *Gate
	address string
	mu      sync.Mutex
	counts  map[Reason]int
}

func serve(t *testing.T, limits Limits, handler http.HandlerFunc) *server {
	t.Helper()
	s := &server{t: t, counts: map[Reason]int{}}
	s.gate = NewGate(limits, func(reason Reason) {
		s.mu.Lock()
		s.counts[reason]++
		s.mu.Unlock()
	})
	listener, err := s.gate.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	httpServer := s.gate.NewServer(handler)
	go func() { _ = httpServer.Serve(listener) }()
	t.Cleanup(func() { _ = httpServer.Close() })
	s.address = listener.Addr().String()
	return s
}

func (s *server) dial() net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func (s *server) send(conn net.Conn, text string) {
	s.t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		s.t.Fatal(err)
	}
}

// answer returns the status of a response, or 0 if the connection was closed without one.
func answer(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// settle waits until the gate accounts for the expected connections and bytes.
func (s *server) settle(connections int, least int64) {
	s.t.Helper()
	for range 1000 {
		open, held := s.gate.Usage()
		if open == connections && held >= least {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	open, held := s.gate.Usage()
	s.t.Fatalf("%d connections hold %d bytes, want %d and at least %d", open, held, connections, least)
}

func (s *server) closed(reason Reason) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[reason]
}

// echoSize answers with the status that the outcome of reading the body has.
func echoSize(limit int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, err := ReadBody(r, limit)
		switch {
		case errors.Is(err, ErrTooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case errors.Is(err, ErrNoMemory), errors.Is(err, ErrBodyTimeout):
			w.WriteHeader(http.StatusServiceUnavailable)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		}
	}
}

func post(size int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size)
}

// Guards against new connections that are kept out by idle ones.
func TestOldestWaitingConnectionIsClosedForANewOne(t *testing.T) {
	limits := testLimits()
	limits.Connections = 2
	s := serve(t, limits, echoSize(100))
	first := s.dial()
	s.settle(1, 0)
	second := s.dial()
	s.settle(2, 0)
	third := s.dial()
	if answer(first) != 0 {
		t.Error("the oldest connection got an answer")
	}
	for _, conn := range []net.Conn{second, third} {
		s.send(conn, post(2)+"{}")
		if status := answer(conn); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
	if n := s.closed(ConnectionLimit); n != 1 {
		t.Errorf("%d connections were closed at the limit, want 1", n)
	}
}

// Guards against connections that are refused although busy ones are about to be free, and
// against a reserve that grows.
func TestBusyConnectionsAreClosedAfterTheirAnswerWhenThereAreTooMany(t *testing.T) {
	limits := testLimits()
	limits.Connections = 1
	release := make(chan bool)
	s := serve(t, limits, func(http.ResponseWriter, *http.Request) { <-release })
	busy, waiting, refused := s.dial(), net.Conn(nil), net.Conn(nil)
	s.send(busy, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	s.settle(1, 1)
	s.busy(1)
	waiting = s.dial()
	s.settle(2, 0)
	s.send(waiting, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	s.busy(2)
	refused = s.dial()
	if answer(refused) != 0 {
		t.Error("a connection beyond the reserve got an answer")
	}
	close(release)
	if first, second := answer(busy), answer(waiting); first != http.StatusOK || second != http.StatusOK {
		t.Errorf("statuses %d and %d", first, second)
	}
	s.settle(1, 0)
}

// busy waits until this many connections may not be closed.
func (s *server) busy(want int) {
	s.t.Helper()
	for range 1000 {
		s.gate.mu.Lock()
		got := s.gate.open - s.gate.waiting.Len()
		s.gate.mu.Unlock()
		if got == want {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	s.t.Fatalf("there are never %d busy connections", want)
}

// Guards against small requests that are kept out by unfinished large ones, and against large
// ones that close each other while they make progress.
func TestSmallRequestDisplacesUnfinishedOnes(t *testing.T) {
	limits := testLimits()
	limits.RequestBytes = 64 << 10
	s := serve(t, limits, echoSize(1<<20))
	unfinished := s.dial()
	s.send(unfinished, post(31_000)+strings.Repeat(" ", 30_000))
	s.settle(1, 60_000)
	large := s.dial()
	s.send(large, post(60_000)+strings.Repeat(" ", 59_000))
	if status := answer(large); status != http.StatusServiceUnavailable {
		t.Errorf("a large request: status %d", status)
	}
	small := s.dial()
	s.send(small, post(3000)+strings.Repeat(" ", 3000))
	if status := answer(small); status != http.StatusOK {
		t.Errorf("a small request: status %d", status)
	}
	if answer(unfinished) != 0 {
		t.Error("the unfinished request got an answer")
	}
}

// Guards against requests that are closed for others after they have arrived in full.
func TestRequestInServiceIsNotDisplaced(t *testing.T) {
	limits := testLimits()
	limits.RequestBytes = 64 << 10
	release := make(chan bool)
	s := serve(t, limits, func(w http.ResponseWriter, r *http.Request) {
		if _, err := ReadBody(r, 1<<20); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		<-release
	})
	inService := s.dial()
	s.send(inService, post(29_000)+strings.Repeat(" ", 29_000))
	s.busy(1)
	other := s.dial()
	s.send(other, post(3000)+strings.Repeat(" ", 3000))
	if status := answer(other); status != http.StatusServiceUnavailable {
		t.Errorf("the request that had no memory: status %d", status)
	}
	close(release)
	if status := answer(inService); status != http.StatusOK {
		t.Errorf("the request in service: status %d", status)
	}
}

// Guards against memory that stays charged after its request.
func TestMemoryIsReleasedWithTheAnswer(t *testing.T) {
	s := serve(t, testLimits(), echoSize(1<<20))
	conn := s.dial()
	for range 10 {
		s.send(conn, post(100_000)+strings.Repeat(" ", 100_000))
		if status := answer(conn); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
	}
	s.busy(0)
	if _, held := s.gate.Usage(); held != 0 {
		t.Errorf("%d bytes are held by an idle connection", held)
	}
	_ = conn.Close()
	s.settle(0, 0)
}

// Guards against bodies that are read beyond the limit, and against limits that are off by one.
func TestBodyLimit(t *testing.T) {
	const limit = 10_000
	s := serve(t, testLimits(), echoSize(limit))
	chunks := func(size int) string {
		return "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", size) + "0\r\n\r\n"
	}
	for _, c := range []struct {
		name, request string
		want          int
	}{
		{"nothing", post(0), 200}, {"a byte", post(1) + "x", 200}, {"the limit", post(limit) + strings.Repeat("x", limit), 200},
		{"more than the limit, announced and not sent", post(limit + 1), 413},
		{"the limit in chunks", chunks(limit), 200}, {"a byte more in chunks", chunks(limit + 1), 413},
		{"more than the first block", post(4097) + strings.Repeat("x", 4097), 200},
	} {
		conn := s.dial()
		s.send(conn, c.request)
		if status := answer(conn); status != c.want {
			t.Errorf("%s: status %d, want %d", c.name, status, c.want)
		}
	}
}

// Guards against bodies that never end, and against their refusal being withheld.
func TestBodyThatStopsIsRefused(t *testing.T) {
	limits := testLimits()
	limits.BodyTimeout = 50 * time.Millisecond
	s := serve(t, limits, echoSize(100))
	conn := s.dial()
	s.send(conn, post(10)+"x")
	if status := answer(conn); status != http.StatusServiceUnavailable {
		t.Errorf("status %d", status)
	}
	if n := s.closed(BodyTimeout); n != 1 {
		t.Errorf("%d bodies timed out, want 1", n)
	}
}

// Guards against a time limit on bodies that outlasts the body and ends the request in service.
func TestBodyTimeoutEndsWithTheBody(t *testing.T) {
	limits := testLimits()
	limits.BodyTimeout = 50 * time.Millisecond
	s := serve(t, limits, func(w http.ResponseWriter, r *http.Request) {
		_, _ = ReadBody(r, 100)
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusInternalServerError)
		case <-time.After(4 * limits.BodyTimeout):
		}
	})
	conn := s.dial()
	s.send(conn, post(2)+"{}")
	if status := answer(conn); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}

// Guards against clients that never read their answers.
func TestAnswerThatIsNotReadTimesOut(t *testing.T) {
	limits := testLimits()
	limits.WriteTimeout = 50 * time.Millisecond
	s := serve(t, limits, func(w http.ResponseWriter, _ *http.Request) {
		block := make([]byte, 1<<20)
		for {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	})
	s.send(s.dial(), "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	s.settle(1, 0)
	s.settle(0, 0)
	if n := s.closed(WriteTimeout); n == 0 {
		t.Error("the timeout is not counted")
	}
}

// Guards against headers that hold more memory than all requests may.
func TestHeadersAreCharged(t *testing.T) {
	limits := testLimits()
	limits.RequestBytes = 50_000
	s := serve(t, limits, echoSize(100))
	conn := s.dial()
	s.send(conn, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 1000))
	if status := answer(conn); status != http.StatusServiceUnavailable && status != 0 {
		t.Errorf("status %d", status)
	}
	s.settle(0, 0)
	if n := s.closed(MemoryLimit); n != 1 {
		t.Errorf("%d connections were closed for memory, want 1", n)
	}
}
