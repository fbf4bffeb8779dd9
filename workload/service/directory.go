package service

import (
	"strings"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// Queue is a declared queue and where callers reach it.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	// Anonymous queues need no key.
	Anonymous bool
	Terms     workload.Terms
}

// Directory is one version of the configuration.
type Directory struct {
	Version int64
	Queues  []Queue
	// Keys maps each key to its client account.
	Keys       map[string]domain.AccountID
	Guaranteed map[domain.AccountID]int64
	// BodyBytes bounds a submission; 0 is no bound.
	BodyBytes int64
	// Problems are the parts that could not be understood and were left out.
	Problems []*EntryError
}

// Find returns the queue with the longest prefix of the path on the host.
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

// Account returns the account of a key.
func (d *Directory) Account(key string) (domain.AccountID, bool) {
	account, ok := d.Keys[key]
	return account, ok
}

// Configuration is what a planner needs of the directory.
func (d *Directory) Configuration() control.Configuration {
	out := control.Configuration{Version: d.Version, Queues: map[string]workload.Terms{}, Guaranteed: d.Guaranteed}
	for _, q := range d.Queues {
		out.Queues[q.Name] = q.Terms
	}
	return out
}
