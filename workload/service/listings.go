package service

import (
	"maps"
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/workload/control"
)

// How the planner follows the platform's list of workers: entry by entry, or as a whole when
// the list was read again.

// syncWorkers passes the state of evacuations and the worker list to the core. It is called
// before each decision and again before orders are sent.
func (p *planner) syncWorkers() {
	now := p.s.clock.Now()
	p.core.Evacuate(p.s.evacuations.list(), now)
	if p.listInterrupted {
		p.listInterrupted = false
		p.core.RecordListGap(now)
	}
	if p.listReplaced {
		p.listReplaced = false
		p.listRead = true
		p.core.SetWorkers(slices.Collect(maps.Values(p.listings)), now)
	} else {
		p.syncChangedWorkers(now)
	}
	clear(p.changedListings)
}

// syncChangedWorkers passes the changed entries of the list to the core.
func (p *planner) syncChangedWorkers(now time.Time) {
	for id := range p.changedListings {
		if l, ok := p.listings[id]; ok {
			p.core.UpdateWorker(l, now)
		} else {
			p.core.RemoveWorker(id, now)
		}
	}
	p.core.SettleUnlisted(now)
}

// decodedListing is an entry of the list with its decoded content.
type decodedListing struct {
	Entry
	listing control.Listing
	err     error
}

func (p *planner) decodeListing(e Entry) decodedListing {
	if len(e.Value) == 0 {
		return decodedListing{Entry: e}
	}
	decoded, err := p.s.decoder.Listing(e.Key, e.Value)
	return decodedListing{e, decoded, err}
}

// applyList replaces the whole list in one step: a worker that is missing from a part of the
// list may be in another part.
func (p *planner) applyList(entries []Entry) {
	decoded := make([]decodedListing, len(entries))
	for i, e := range entries {
		decoded[i] = p.decodeListing(e)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.listings
	p.listings = make(map[string]control.Listing, len(entries))
	p.listReplaced = true
	p.listInterrupted = true
	for _, l := range decoded {
		p.applyListing(l, previous)
	}
}

// reportListConnection records that the connection to the list was lost or restored.
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

// applyListing applies one entry; previous is the list that was known until then.
func (p *planner) applyListing(l decodedListing, previous map[string]control.Listing) {
	p.changedListings[l.Key] = true
	switch {
	case len(l.Value) == 0:
		delete(p.listings, l.Key)
		delete(p.unreadable, l.Key)
	case l.err != nil:
		p.applyUnreadable(l, previous)
	default:
		delete(p.unreadable, l.Key)
		p.listings[l.Key] = l.listing
	}
}

// maxUnreadable limits the entries that are logged as unreadable.
const maxUnreadable = 1000

// applyUnreadable handles an entry that can't be decoded. A worker that was known before gets
// no new work, but the leases of its runs are renewed at its last address; a worker that was
// not known is not used.
func (p *planner) applyUnreadable(l decodedListing, previous map[string]control.Listing) {
	if known, ok := previous[l.Key]; ok {
		known.Unreadable = true
		p.listings[l.Key] = known
	}
	if p.unreadable[l.Key] == l.err.Error() || len(p.unreadable) >= maxUnreadable {
		return
	}
	p.unreadable[l.Key] = l.err.Error()
	p.s.logUnreadable(l.Entry, l.err)
}
