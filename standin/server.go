package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/port"
	"github.com/cobalttide/cobalttide/standin/client"
)

// ListFaults configures the faults of the platform's lists.
type ListFaults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// Lag is how much longer instances that have left stay on the list.
	Lag domain.Duration `json:"lag"`
}

// FaultRequest replaces the faults of one part of the stand-in. Exactly one of Log,
// List, Worker, Backend and Cut is set.
type FaultRequest struct {
	Log     *LogFaults  `json:"log,omitempty"`
	List    *ListFaults `json:"list,omitempty"`
	Worker  string      `json:"worker,omitempty"`
	Backend string      `json:"backend,omitempty"`
	// WorkerFaults applies to Worker, BackendFaults to Backend.
	WorkerFaults  WorkerFaults  `json:"worker_faults"`
	BackendFaults BackendFaults `json:"backend_faults"`
	// Cut lists the data centres whose calls to the log and the lists are rejected.
	Cut *[]domain.DataCentre `json:"cut,omitempty"`
}

// listTTL is how long an instance stays on the list after its last query.
const listTTL = 3 * time.Second

type listedInstance struct {
	port.ListedInstance
	seen time.Time
}

// Platform serves a whole stand-in platform. It is safe for concurrent use.
type Platform struct {
	Log      *Log
	workers  map[domain.WorkerID]*Worker
	backends []*Backend

	mu         sync.Mutex
	instances  map[domain.InstanceID]listedInstance
	listFaults ListFaults
	cut        map[domain.DataCentre]bool
	down       map[domain.WorkerID]bool
}

// NewPlatform returns a platform with the given log, workers and backend servers.
func NewPlatform(log *Log, workers []*Worker, backends []*Backend) *Platform {
	p := &Platform{
		Log: log, workers: map[domain.WorkerID]*Worker{}, backends: backends,
		instances: map[domain.InstanceID]listedInstance{}, cut: map[domain.DataCentre]bool{}, down: map[domain.WorkerID]bool{},
	}
	for _, w := range workers {
		p.workers[w.Spec.ID] = w
	}
	return p
}

// Workers returns all workers.
func (p *Platform) Workers() []*Worker {
	out := make([]*Worker, 0, len(p.workers))
	for _, w := range p.workers {
		out = append(out, w)
	}
	return out
}

// Worker returns the worker with the given id, or nil if there is none.
func (p *Platform) Worker(id domain.WorkerID) *Worker { return p.workers[id] }

// Backends returns the backend servers.
func (p *Platform) Backends() []*Backend { return p.backends }

// SetCut disconnects exactly the given data centres from the log and the lists.
func (p *Platform) SetCut(dcs ...domain.DataCentre) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = map[domain.DataCentre]bool{}
	for _, dc := range dcs {
		p.cut[dc] = true
	}
}

// SetWorkerDown makes a worker's agent unreachable.
func (p *Platform) SetWorkerDown(id domain.WorkerID, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down[id] = down
}

// Handler returns the handler of the log, the lists, the workers' agents and the
// fault switches.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log/append", p.rejectCut(p.handleAppend))
	mux.HandleFunc("GET /log/read", p.rejectCut(p.handleRead))
	mux.HandleFunc("POST /list", p.rejectCut(p.handleList))
	mux.HandleFunc("POST /workers/{id}/do", p.handleCommand)
	mux.HandleFunc("POST /faults", p.handleFaults)
	return mux
}

func (p *Platform) rejectCut(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		cut := p.cut[domain.DataCentre(r.Header.Get(client.HeaderDataCentre))]
		p.mu.Unlock()
		if cut {
			http.Error(w, "data centre is cut off", http.StatusBadGateway)
			return
		}
		next(w, r)
	}
}

func reply(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // the caller detects a closed connection
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (p *Platform) handleAppend(w http.ResponseWriter, r *http.Request) {
	var request client.AppendRequest
	if !decode(w, r, &request) {
		return
	}
	offset, err := p.Log.Append(r.Context(), request.Stream, request.Records)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	reply(w, client.AppendResponse{Offset: offset})
}

func (p *Platform) handleRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not a number", http.StatusBadRequest)
		return
	}
	page, err := p.Log.Read(r.Context(), port.Stream(r.URL.Query().Get("stream")), from)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	reply(w, page)
}

func (p *Platform) handleList(w http.ResponseWriter, r *http.Request) {
	var query port.ListQuery
	if !decode(w, r, &query) {
		return
	}
	inventory, up := p.updateInventory(query, time.Now())
	if !up {
		http.Error(w, "list service is down", http.StatusServiceUnavailable)
		return
	}
	reply(w, inventory)
}

func (p *Platform) updateInventory(query port.ListQuery, now time.Time) (port.Inventory, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listFaults.Down {
		return port.Inventory{}, false
	}
	if self := query.Self; self.ID != "" {
		p.instances[self.ID] = listedInstance{self, now}
	}
	var out port.Inventory
	for id, l := range p.instances {
		if now.Sub(l.seen) > listTTL+p.listFaults.Lag.Std() {
			delete(p.instances, id)
			continue
		}
		out.Instances = append(out.Instances, l.ListedInstance)
	}
	for _, worker := range p.workers {
		if query.DataCentre == "" || worker.Spec.DataCentre == query.DataCentre {
			out.Workers = append(out.Workers, worker.Spec)
		}
	}
	for _, b := range p.backends {
		out.Backends = append(out.Backends, b.Spec)
	}
	sort.Slice(out.Instances, func(i, j int) bool { return out.Instances[i].ID < out.Instances[j].ID })
	sort.Slice(out.Workers, func(i, j int) bool { return out.Workers[i].ID < out.Workers[j].ID })
	out.Versions = port.ListVersions{Instances: listVersion(out.Instances), Workers: listVersion(out.Workers), Backends: listVersion(out.Backends)}
	return omitUnchanged(out, query.Known), true
}

// listVersion returns a hash of a list, which identifies its content.
func listVersion(list any) string {
	raw, err := json.Marshal(list)
	if err != nil {
		panic(err) // the lists hold only types that can be marshalled
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:8])
}

func omitUnchanged(i port.Inventory, known port.ListVersions) port.Inventory {
	if i.Versions.Instances == known.Instances {
		i.Instances = nil
	}
	if i.Versions.Workers == known.Workers {
		i.Workers = nil
	}
	if i.Versions.Backends == known.Backends {
		i.Backends = nil
	}
	return i
}

func (p *Platform) handleCommand(w http.ResponseWriter, r *http.Request) {
	id := domain.WorkerID(r.PathValue("id"))
	worker, known := p.workers[id]
	p.mu.Lock()
	down := p.down[id]
	p.mu.Unlock()
	if !known || down {
		http.Error(w, "no such worker", http.StatusNotFound)
		return
	}
	var command port.Command
	if decode(w, r, &command) {
		reply(w, worker.Do(command))
	}
}

func (p *Platform) handleFaults(w http.ResponseWriter, r *http.Request) {
	var request FaultRequest
	if !decode(w, r, &request) {
		return
	}
	if !p.applyFaults(request) {
		http.Error(w, "no such worker or backend server", http.StatusNotFound)
		return
	}
	reply(w, struct{}{})
}

func (p *Platform) applyFaults(f FaultRequest) bool {
	if f.Log != nil {
		p.Log.SetFaults(*f.Log)
	}
	if f.List != nil {
		p.mu.Lock()
		p.listFaults = *f.List
		p.mu.Unlock()
	}
	if f.Cut != nil {
		p.SetCut(*f.Cut...)
	}
	if f.Worker != "" {
		worker, ok := p.workers[domain.WorkerID(f.Worker)]
		if !ok {
			return false
		}
		worker.SetFaults(f.WorkerFaults)
	}
	if f.Backend != "" {
		return p.applyBackendFaults(f)
	}
	return true
}

func (p *Platform) applyBackendFaults(f FaultRequest) bool {
	for _, b := range p.backends {
		if b.Spec.ID == f.Backend {
			b.SetFaults(f.BackendFaults)
			return true
		}
	}
	return false
}
