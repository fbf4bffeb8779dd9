package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/port"
)

// Work is the request body that the backend stand-in understands.
type Work struct {
	// Duration is how long the work occupies a slot.
	Duration domain.Duration `json:"take"`
	// Size is the size of the answer after its first line, in bytes.
	Size int `json:"size,omitempty"`
	// Stream answers in chunks of unknown length with an end marker.
	Stream bool `json:"stream,omitempty"`
}

// BackendFaults configures the faults of a backend server.
type BackendFaults struct {
	// Slow multiplies the time that work takes; 0 means 1.
	Slow float64 `json:"slow"`
	// FailFast answers 500 immediately, without doing the work.
	FailFast bool `json:"fail_fast"`
	// Truncate closes the connection in the middle of an answer.
	Truncate bool `json:"truncate"`
	// SwapID answers with another request's id.
	SwapID bool `json:"swap"`
	// DropAfter does the work and closes the connection without an answer.
	DropAfter bool `json:"drop_after"`
	// Leaving refuses new work and announces in a header that the server is leaving.
	Leaving bool `json:"leaving"`
}

// Backend is a backend server with a number of slots and a queue. It is safe for
// concurrent use.
type Backend struct {
	Spec  domain.BackendServer
	slots chan struct{}
	load  atomic.Int64

	mu        sync.Mutex
	faults    BackendFaults
	runs      map[string]int
	lastStart time.Time
}

// NewBackend returns a server without faults.
func NewBackend(spec domain.BackendServer) *Backend {
	return &Backend{Spec: spec, slots: make(chan struct{}, spec.Slots), runs: map[string]int{}}
}

// SetFaults replaces the server's faults.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

// RunCounts returns how often the work of each request was started. The keys are
// "account/id".
func (b *Backend) RunCounts() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int, len(b.runs))
	for id, n := range b.runs {
		out[id] = n
	}
	return out
}

// LastStart returns the time at which work was last started.
func (b *Backend) LastStart() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastStart
}

// ExpectedAnswer returns the first line of the answer to a request. It is a hash of the
// request, so callers can detect the answer to another one.
func ExpectedAnswer(account, id string, body []byte) string {
	sum := sha256.Sum256(append([]byte(account+"/"+id+"/"), body...))
	return hex.EncodeToString(sum[:]) + "\n"
}

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	faults := b.faults
	b.mu.Unlock()
	load := b.load.Add(1)
	defer b.load.Add(-1)
	w.Header().Set(port.HeaderLoad, strconv.FormatInt(load-1, 10))
	id := r.Header.Get(port.HeaderID)
	w.Header().Set(port.HeaderID, id)
	if faults.Leaving {
		w.Header().Set(port.HeaderLeaving, "1")
		w.Header().Set(port.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if faults.FailFast {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !b.work(r, body, faults) {
		return
	}
	b.answer(w, r, body, faults)
}

func (b *Backend) work(r *http.Request, body []byte, faults BackendFaults) bool {
	select {
	case b.slots <- struct{}{}:
	case <-r.Context().Done():
		return false
	}
	defer func() { <-b.slots }()
	b.mu.Lock()
	b.runs[r.Header.Get(port.HeaderAccount)+"/"+r.Header.Get(port.HeaderID)]++
	b.lastStart = time.Now()
	b.mu.Unlock()
	var work Work
	if err := json.Unmarshal(body, &work); err != nil {
		return true // a body that can't be parsed takes no time
	}
	take := work.Duration.Std()
	if faults.Slow > 0 {
		take = time.Duration(float64(take) * faults.Slow)
	}
	time.Sleep(take)
	return true
}

func (b *Backend) answer(w http.ResponseWriter, r *http.Request, body []byte, faults BackendFaults) {
	id := r.Header.Get(port.HeaderID)
	if faults.DropAfter {
		panic(http.ErrAbortHandler)
	}
	if faults.SwapID {
		w.Header().Set(port.HeaderID, id+"-other")
	}
	var work Work
	_ = json.Unmarshal(body, &work) // a body that can't be parsed has no size
	first := ExpectedAnswer(r.Header.Get(port.HeaderAccount), id, body)
	w.Header().Set("Content-Type", "text/plain")
	if work.Stream {
		w.Header().Set("Trailer", port.HeaderEnd)
	} else {
		w.Header().Set("Content-Length", strconv.Itoa(len(first)+work.Size))
	}
	if faults.Truncate {
		_, _ = io.WriteString(w, first[:len(first)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, first)
	writePadding(w, work)
	if work.Stream {
		w.Header().Set(port.HeaderEnd, id)
	}
}

// paddingChunk is the size of one write of an answer's padding, in bytes.
const paddingChunk = 4096

func writePadding(w http.ResponseWriter, work Work) {
	chunk := make([]byte, paddingChunk)
	for left := work.Size; left > 0; left -= paddingChunk {
		if _, err := w.Write(chunk[:min(left, paddingChunk)]); err != nil {
			return
		}
		if f, ok := w.(http.Flusher); ok && work.Stream {
			f.Flush()
		}
	}
}

// String returns the backend's name in test output.
func (b *Backend) String() string { return fmt.Sprintf("backend server %s", b.Spec.ID) }
