package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"github.com/cobalttide/cobalttide/domain"
)

// Fleet describes the machines of a stand-in platform.
type Fleet struct {
	DataCentres []FleetDataCentre `json:"data_centres"`
	// LogKeep limits the number of records that a stream of the log keeps; 0 keeps all.
	LogKeep int `json:"log_keep,omitempty"`
}

// FleetDataCentre describes one data centre of a fleet.
type FleetDataCentre struct {
	Name domain.DataCentre `json:"name"`
	// Racks and WorkersPerRack give the number of workers, Capacity the resources of
	// each worker.
	Racks          int              `json:"racks"`
	WorkersPerRack int              `json:"workers_per_rack"`
	Capacity       domain.Resources `json:"capacity"`
	// Minions is the number of minions, each with one backend server.
	Minions int `json:"minions"`
	Slots   int `json:"slots"`
}

// LoadFleet reads the description of a fleet from a file of JSON with comments.
func LoadFleet(file string) (Fleet, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Fleet{}, errors.Wrap(err, "read the fleet description")
	}
	standard, err := hujson.Standardize(raw)
	if err != nil {
		return Fleet{}, errors.Wrapf(err, "%s is not JSON with comments", file)
	}
	var fleet Fleet
	return fleet, errors.Wrapf(json.Unmarshal(standard, &fleet), "%s is not a fleet description", file)
}

// Workers returns the fleet's workers. All their agents have the given address.
func (f Fleet) Workers(address string) []domain.Worker {
	var out []domain.Worker
	for _, dc := range f.DataCentres {
		for rack := range dc.Racks {
			for i := range dc.WorkersPerRack {
				out = append(out, domain.Worker{
					ID: domain.WorkerID(fmt.Sprintf("%s-r%d-w%d", dc.Name, rack, i)), DataCentre: dc.Name,
					Rack: domain.RackID(fmt.Sprintf("%s-r%d", dc.Name, rack)), Row: rack,
					Capacity: dc.Capacity, Address: address,
				})
			}
		}
	}
	return out
}

// Server is a stand-in platform that serves over TCP.
type Server struct {
	*Platform
	Address string
	servers []*http.Server
	serving sync.WaitGroup
}

// readTimeout is how long a read at the end of the log waits for a record.
const readTimeout = time.Second

// Start serves a fleet: the platform at address, and each backend server at the
// same IP on a port chosen by the operating system.
func Start(fleet Fleet, address string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen on the platform's address; use another -listen address")
	}
	r := &Server{Address: listener.Addr().String()}
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) }
	var workers []*Worker
	for _, spec := range fleet.Workers(r.Address) {
		workers = append(workers, NewWorker(spec, clock))
	}
	backends, err := r.startBackends(fleet)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	log := NewLog(readTimeout)
	log.Keep = fleet.LogKeep
	r.Platform = NewPlatform(log, workers, backends)
	r.serve(listener, r.Handler())
	return r, nil
}

func (r *Server) startBackends(fleet Fleet) ([]*Backend, error) {
	host, _, err := net.SplitHostPort(r.Address)
	if err != nil {
		return nil, errors.Wrap(err, "split the platform's address")
	}
	var out []*Backend
	for _, dc := range fleet.DataCentres {
		for i := range dc.Minions {
			listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
			if err != nil {
				return nil, errors.Wrap(err, "listen for a backend server")
			}
			backend := NewBackend(domain.BackendServer{
				ID: fmt.Sprintf("%s-b%d", dc.Name, i), DataCentre: dc.Name,
				Address: listener.Addr().String(), Slots: dc.Slots,
			})
			r.serve(listener, backend)
			out = append(out, backend)
		}
	}
	return out, nil
}

func (r *Server) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	r.servers = append(r.servers, server)
	r.serving.Add(1)
	go func() {
		defer r.serving.Done()
		_ = server.Serve(listener) // returns when Stop closes the server
	}()
}

// Stop stops the stand-in.
func (r *Server) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, server := range r.servers {
		_ = server.Shutdown(ctx) // Close ends the remaining connections
		_ = server.Close()
	}
	r.serving.Wait()
}
