package service

import (
	"maps"
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/workload/control"
)

// How the planner follows the platform's list of workers: an entry at a time, and whole where
// the list was read anew.

// takePlaces brings the core up to date with where work may begin. It is done before
// each decision, and again before what was decided goes out.
func (p *planner) takePlaces() {
	now := p.s.clock.Now()
	p.core.Evacuate(p.s.evacuated.list(), now)
	if p.interrupted {
		p.interrupted = false
		p.core.ListInterrupted(now)
	}
	if p.fresh {
		p.fresh = false
		p.listed = true
		p.core.List(slices.Collect(maps.Values(p.list)), now)
	} else {
		p.takeChanged(now)
	}
	clear(p.changed)
}

// takeChanged takes over the entries of the list that have changed.
func (p *planner) takeChanged(now time.Time) {
	for id := range p.changed {
		if l, ok := p.list[id]; ok {
			p.core.ListOne(l, now)
		} else {
			p.core.Unlist(id, now)
		}
	}
	p.core.Sweep(now)
}

// listing is what an entry of the list says.
type listing struct {
	Entry
	of  control.Listing
	err error
}

func (p *planner) readListing(e Entry) listing {
	if len(e.Value) == 0 {
		return listing{Entry: e}
	}
	of, err := p.s.decoder.Listing(e.Key, e.Value)
	return listing{e, of, err}
}

// listAll takes the whole list in one step: a part of it says nothing of the workers
// that are not in it.
func (p *planner) listAll(entries []Entry) {
	read := make([]listing, len(entries))
	for i, e := range entries {
		read[i] = p.readListing(e)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.list
	p.list = make(map[string]control.Listing, len(entries))
	p.fresh = true
	p.interrupted = true
	for _, l := range read {
		p.takeListing(l, before)
	}
}

// listConnection takes it that the connection to the list was lost or regained.
func (p *planner) listConnection(topic Topic, ok bool, cause string) {
	p.mu.Lock()
	p.interrupted = true
	p.mu.Unlock()
	p.s.connection(topic, ok, cause)
}

func (p *planner) listOne(e Entry) {
	l := p.readListing(e)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.takeListing(l, p.list)
}

// takeListing takes one entry; before is what was known until then.
func (p *planner) takeListing(l listing, before map[string]control.Listing) {
	p.changed[l.Key] = true
	switch {
	case len(l.Value) == 0:
		delete(p.list, l.Key)
		delete(p.bad, l.Key)
	case l.err != nil:
		p.listBad(l, before)
	default:
		delete(p.bad, l.Key)
		p.list[l.Key] = l.of
	}
}

// mostBad bounds the entries that are noted as bad.
const mostBad = 1000

// listBad takes an entry that can't be understood. A worker that was known before gets
// nothing new, and what runs there is held on at the address that it had; one that was
// not known is not used.
func (p *planner) listBad(l listing, before map[string]control.Listing) {
	if known, ok := before[l.Key]; ok {
		known.Unreadable = true
		p.list[l.Key] = known
	}
	if p.bad[l.Key] == l.err.Error() || len(p.bad) >= mostBad {
		return
	}
	p.bad[l.Key] = l.err.Error()
	p.s.noteUnreadable(l.Entry, l.err)
}
