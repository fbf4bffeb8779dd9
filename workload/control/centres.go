package control

import (
	"time"

	"github.com/cobalttide/cobalttide/workload/decide"
)

// centre tracks whether a data centre is reachable. If a data centre is cut off under load of the
// first priority, its workers would otherwise be found silent one by one, each by a gang that was
// placed on it and is then stuck until the worker's lease ends. So one unanswered call closes all
// workers of the data centre to new work until one of them answers a call that was sent later. If
// only one worker is silent, another answers within some tens of milliseconds.
type centre struct {
	// answeredAt is when the latest answered call was sent, unansweredAt when the latest
	// unanswered one was.
	answeredAt, unansweredAt time.Time
}

// maxProbesPerCentre limits the concurrent calls to idle workers of an unreachable data centre.
const maxProbesPerCentre = 3

func (c *Core) centreOf(w *worker) *centre {
	out := c.centres[w.DataCentre]
	if out == nil {
		out = &centre{}
		c.centres[w.DataCentre] = out
	}
	return out
}

// recordAnswer records that a call sent at the given time was answered.
func (c *Core) recordAnswer(w *worker, sent time.Time) {
	if dc := c.centreOf(w); sent.After(dc.answeredAt) {
		dc.answeredAt = sent
	}
}

// minSilence is how long a call must have gone unanswered to count against the data centre. One
// that failed sooner was refused by something that answers there.
const minSilence = 150 * time.Millisecond

func (c *Core) recordNoAnswer(w *worker, sent, now time.Time) {
	if now.Sub(sent) < minSilence {
		return
	}
	if dc := c.centreOf(w); sent.After(dc.unansweredAt) {
		dc.unansweredAt = sent
	}
}

func (dc *centre) isSilent() bool { return dc.unansweredAt.After(dc.answeredAt) }

// hasSilentCentre reports whether any data centre may be unreachable.
func (c *Core) hasSilentCentre() bool {
	for _, dc := range c.centres {
		if dc.isSilent() {
			return true
		}
	}
	return false
}

// cutOff reports whether the worker's data centre is unreachable.
func (c *Core) cutOff(w *worker) bool {
	dc := c.centreOf(w)
	return w.DataCentre != "" && dc.isSilent() && !c.bounds.Disabled[decide.CloseSilentCentres]
}
