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
func (p *planner) syncWorkers() {
	now := p.s.clock.Now()
	p.core.Evacuate(p.s.evacuations.list(), now)
	if p.listInterrupted {
		p.listInterrupted = false
		p.core.ListInterrupted(now)
	}
	if p.listReplaced {
		p.listReplaced = false
		p.listRead = true
		p.core.List(slices.Collect(maps.Values(p.listings)), now)
	} else {
		p.syncChangedWorkers(now)
	}
	clear(p.changedListings)
}

// takeChanged takes over the entries of the list that have changed.
func (p *planner) syncChangedWorkers(now time.Time) {
	for id := range p.changedListings {
		if l, ok := p.listings[id]; ok {
			p.core.ListOne(l, now)
		} else {
			p.core.Unlist(id, now)
		}
	}
	p.core.Sweep(now)
}

// listing is what an entry of the list says.
type decodedListing struct {
	Entry
	listing control.Listing
	err     error
}

func (p *planner) decodeListing(e Entry) decodedListing {
	if len(e.Value) == 0 {
		return decodedListing{Entry: e}
	}
	of, err := p.s.decoder.Listing(e.Key, e.Value)
	return decodedListing{e, of, err}
}

// listAll takes the whole list in one step: a part of it says nothing of the workers
// that are not in it.
func (p *planner) applyList(entries []Entry) {
	read := make([]decodedListing, len(entries))
	for i, e := range entries {
		read[i] = p.decodeListing(e)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.listings
	p.listings = make(map[string]control.Listing, len(entries))
	p.listReplaced = true
	p.listInterrupted = true
	for _, l := range read {
		p.applyListing(l, before)
	}
}

// listConnection takes it that the connection to the list was lost or regained.
func (p *planner) reportListConnection(topic Topic, ok bool, cause string) {
	p.mu.Lock()
	p.listInterrupted = true
	p.mu.Unlock()
	p.s.reportConnection(topic, ok, cause)
}

func (p *planner) applyListEntry(e Entry) {
	l := p.decodeListing(e)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyListing(l, p.listings)
}

// takeListing takes one entry; before is what was known until then.
func (p *planner) applyListing(l decodedListing, before map[string]control.Listing) {
	p.changedListings[l.Key] = true
	switch {
	case len(l.Value) == 0:
		delete(p.listings, l.Key)
		delete(p.unreadable, l.Key)
	case l.err != nil:
		p.applyUnreadable(l, before)
	default:
		delete(p.unreadable, l.Key)
		p.listings[l.Key] = l.listing
	}
}

// mostBad bounds the entries that are noted as bad.
const maxUnreadable = 1000

// listBad takes an entry that can't be understood. A worker that was known before gets
// nothing new, and what runs there is held on at the address that it had; one that was
// not known is not used.
func (p *planner) applyUnreadable(l decodedListing, before map[string]control.Listing) {
	if known, ok := before[l.Key]; ok {
		known.Unreadable = true
		p.listings[l.Key] = known
	}
	if p.unreadable[l.Key] == l.err.Error() || len(p.unreadable) >= maxUnreadable {
		return
	}
	p.unreadable[l.Key] = l.err.Error()
	p.s.logUnreadable(l.Entry, l.err)
}
