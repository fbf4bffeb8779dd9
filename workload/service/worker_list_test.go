package service

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/events"
	"github.com/cobalttide/cobalttide/telemetry"
	"github.com/cobalttide/cobalttide/workload/control"
)

// newListPlanner returns a planner that has read a list of workers, and the entries of the list.
func newListPlanner(workers int) (*planner, []Entry) {
	s := New(Settings{Instance: "a"}, &memoryLog{}, poolDecoder{}, nil, events.New(io.Discard, events.Fields{}, nil), telemetry.New())
	p := &planner{s: s, core: control.New(control.Bounds{}, 1, time.Now()), listings: map[string]control.Listing{}, unreadable: map[string]string{}, changedListings: map[string]bool{}}
	var entries []Entry
	for i := range workers {
		l := control.Listing{ID: fmt.Sprintf("i-%04d", i), Service: "pool", Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)}
		value, err := json.Marshal(l)
		if err != nil {
			panic(err)
		}
		entries = append(entries, Entry{Key: l.ID, Value: value})
	}
	p.applyList(entries)
	p.syncWorkers()
	p.core.Events()
	return p, entries
}

// countUnlisted counts the workers that the core has noted as unlisted.
func countUnlisted(p *planner) int {
	n := 0
	for _, note := range p.core.Events() {
		if note.Name == control.EventWorkerUnlisted {
			n++
		}
	}
	return n
}

// Guards against workers that are taken for unlisted because they are missing from the part of
// the list that was read so far.
func TestNoWorkerIsUnlistedWhileTheListIsReloaded(t *testing.T) {
	p, entries := newListPlanner(2000)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.applyList(entries)
	}()
	for reading := true; reading; {
		select {
		case <-done:
			reading = false
		default:
		}
		p.mu.Lock()
		p.syncWorkers()
		p.mu.Unlock()
	}
	if n := countUnlisted(p); n > 0 {
		t.Errorf("%d workers were unlisted although all are in the list", n)
	}
}

// Guards against a worker that is taken for unlisted because its entry can't be decoded when the
// list is reloaded.
func TestWorkerWithAnUnreadableEntryStaysListedAfterAReload(t *testing.T) {
	p, entries := newListPlanner(3)
	reloaded := slices.Clone(entries)
	reloaded[1].Value = []byte("{")
	for range 2 {
		p.applyList(reloaded)
		p.syncWorkers()
	}
	if n := countUnlisted(p); n > 0 {
		t.Errorf("%d workers were unlisted, want none", n)
	}
	if known := p.listings[entries[1].Key]; !known.Unreadable || known.Address == "" {
		t.Errorf("the listing of the worker is %+v", known)
	}
}
