package service

import (
	"strings"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// Queue is a declared queue with the host and path prefix that callers use.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	// Anonymous queues need no API key.
	Anonymous bool
	Settings  workload.QueueSettings
}

// Directory is one version of the configuration.
type Directory struct {
	Version int64
	Queues  []Queue
	// Keys maps each API key to its client account.
	Keys       map[string]domain.AccountID
	Guaranteed map[domain.AccountID]int64
	// Weights are the weights that are set for client accounts.
	Weights map[domain.AccountID]float64
	// BodyBytes is the maximum size of a submission in bytes; 0 means that it is not configured.
	BodyBytes int64
	// Problems lists the parts that could not be decoded and were left out.
	Problems []*EntryError
}

// Find returns the queue on the host that has the longest prefix of the path.
func (d *Directory) Find(host, path string) (Queue, bool) {
	best := -1
	for i := range d.Queues {
		q := &d.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best < 0 || len(q.Prefix) > len(d.Queues[best].Prefix) {
			best = i
		}
	}
	if best < 0 {
		return Queue{}, false
	}
	return d.Queues[best], true
}

// Account returns the client account of an API key.
func (d *Directory) Account(key string) (domain.AccountID, bool) {
	account, ok := d.Keys[key]
	return account, ok
}

// Configuration returns the parts of the directory that a planner needs.
func (d *Directory) Configuration() control.Configuration {
	out := control.Configuration{Version: d.Version, Queues: map[string]workload.QueueSettings{}, Guaranteed: d.Guaranteed, Weights: d.Weights}
	for _, q := range d.Queues {
		out.Queues[q.Name] = q.Settings
	}
	return out
}
