package domain

import "strings"

// WorkerID names a worker, a machine with accelerators.
type WorkerID string

// RackID names a rack of workers.
type RackID string

// InstanceID names one run of an instance; a restarted instance has a new ID.
type InstanceID string

// Worker is a worker as the platform describes it.
type Worker struct {
	ID         WorkerID   `json:"id"`
	DataCentre DataCentre `json:"data_centre"`
	Rack       RackID     `json:"rack"`
	// Row is the rack's position; racks whose rows differ by one are neighbouring.
	Row      int       `json:"row"`
	Capacity Resources `json:"capacity"`
	// Address is the IP and port of the worker's agent.
	Address string `json:"address,omitempty"`
}

// BackendServer is a process on a minion that answers requests.
type BackendServer struct {
	ID         string     `json:"id"`
	DataCentre DataCentre `json:"data_centre"`
	// Address is the server's IP and port.
	Address string `json:"address"`
	// Slots is the number of requests that the server runs concurrently.
	Slots int `json:"slots"`
	// Leaving is set once the platform or the server itself reports that the server
	// is leaving.
	Leaving bool `json:"leaving,omitempty"`
}

// Token is a fencing token. Tokens are ordered by epoch, then by holder; a
// worker refuses every call whose token is lower than the highest it has seen.
type Token struct {
	Epoch  uint64     `json:"epoch"`
	Holder InstanceID `json:"holder"`
}

// Compare returns -1, 0 or 1 as t is lower than, equal to or higher than o.
func (t Token) Compare(o Token) int {
	switch {
	case t.Epoch < o.Epoch:
		return -1
	case t.Epoch > o.Epoch:
		return 1
	}
	return strings.Compare(string(t.Holder), string(o.Holder))
}

// Less reports whether t is lower than o.
func (t Token) Less(o Token) bool { return t.Compare(o) < 0 }
