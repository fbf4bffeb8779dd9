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

// listPlanner returns a planner that knows some workers, and their entries.
func listPlanner(workers int) (*planner, []Entry) {
	s := New(Settings{Instance: "a"}, &memory{}, poolDecoder{}, nil, events.New(io.Discard, events.Fields{}, nil), telemetry.New())
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
	p.core.Notes()
	return p, entries
}

// unlisted counts the workers that the planner has taken for gone from the list.
func unlisted(p *planner) int {
	n := 0
	for _, note := range p.core.Notes() {
		if note.Event == control.EventWorkerUnlisted {
			n++
		}
	}
	return n
}

// A part of the list of workers says nothing of those that are not in it.
func TestNoWorkerIsUnlistedWhileTheListIsReadAnew(t *testing.T) {
	p, entries := listPlanner(2000)
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
	if n := unlisted(p); n > 0 {
		t.Errorf("%d workers were unlisted, and all are listed", n)
	}
}

// A worker whose entry can't be read is not gone from the list, also where the list is read anew.
func TestAWorkerWithAnUnreadableEntryStaysWhenTheListIsReadAnew(t *testing.T) {
	p, entries := listPlanner(3)
	anew := slices.Clone(entries)
	anew[1].Value = []byte("{")
	for range 2 {
		p.applyList(anew)
		p.syncWorkers()
	}
	if n := unlisted(p); n > 0 {
		t.Errorf("%d workers were unlisted", n)
	}
	if known := p.listings[entries[1].Key]; !known.Unreadable || known.Address == "" {
		t.Errorf("the worker is known as %+v", known)
	}
}
