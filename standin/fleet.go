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

// Fleet describes what a stand-in platform has.
type Fleet struct {
	DataCentres []FleetDataCentre `json:"data_centres"`
	// LogKeep bounds the records a stream of the log holds; 0 keeps all.
	LogKeep int `json:"log_keep,omitempty"`
}

// FleetDataCentre describes one data centre of a fleet.
type FleetDataCentre struct {
	Name domain.DataCentre `json:"name"`
	// Racks and WorkersPerRack give the workers, Capacity what each has.
	Racks          int              `json:"racks"`
	WorkersPerRack int              `json:"workers_per_rack"`
	Capacity       domain.Resources `json:"capacity"`
	// Minions is the number of minions, each with one backend server.
	Minions int `json:"minions"`
	Slots   int `json:"slots"`
}

// LoadFleet reads a fleet's description, JSON with comments.
func LoadFleet(file string) (Fleet, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Fleet{}, errors.Wrap(err, "read the fleet's description")
	}
	standard, err := hujson.Standardize(raw)
	if err != nil {
		return Fleet{}, errors.Wrapf(err, "%s is not JSON with comments", file)
	}
	var fleet Fleet
	return fleet, errors.Wrapf(json.Unmarshal(standard, &fleet), "%s is not a fleet's description", file)
}

// Workers lists the fleet's workers. Their agents are all at one address.
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

// Running is a stand-in platform that serves over TCP.
type Running struct {
	*Platform
	Address string
	servers []*http.Server
	wg      sync.WaitGroup
}

// readWait is how long an empty read of the log waits.
const readWait = time.Second

// Start serves a fleet: the platform at address, and each backend server on a
// port of its own at the same IP, chosen by the operating system.
func Start(fleet Fleet, address string) (*Running, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the platform; use another -listen address")
	}
	r := &Running{Address: listener.Addr().String()}
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) }
	var workers []*Worker
	for _, spec := range fleet.Workers(r.Address) {
		workers = append(workers, NewWorker(spec, clock))
	}
	backends, err := r.startBackends(fleet)
	if err != nil {
		_ = listener.Close() // the stand-in does not start
		return nil, err
	}
	log := NewLog(readWait)
	log.Keep = fleet.LogKeep
	r.Platform = NewPlatform(log, workers, backends)
	r.serve(listener, r.Handler())
	return r, nil
}

func (r *Running) startBackends(fleet Fleet) ([]*Backend, error) {
	host, _, err := net.SplitHostPort(r.Address)
	if err != nil {
		return nil, errors.Wrap(err, "the platform's address")
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

func (r *Running) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	r.servers = append(r.servers, server)
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		_ = server.Serve(listener) // it ends when Stop closes it
	}()
}

// Stop ends the stand-in.
func (r *Running) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, server := range r.servers {
		_ = server.Shutdown(ctx) // what is left is cut below
		_ = server.Close()
	}
	r.wg.Wait()
}
