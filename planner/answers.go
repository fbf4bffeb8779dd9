package planner

import (
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/planner/gang"
	"github.com/cobalttide/cobalttide/port"
)

// Answer takes in the answer to a call, or its error.
func (c *Core) Answer(call Call, report port.Report, err error, sent, received time.Time) {
	w, ok := c.workers[call.Worker.ID]
	if !ok {
		return
	}
	poll := call.Command.Verb == port.VerbClaim || call.Command.Verb == port.VerbRenew
	if poll {
		w.busy = false
	}
	if err != nil {
		c.unanswered(call)
		return
	}
	if c.Token.Less(report.Seen) {
		c.deposed = true
		c.deposedBy = later(c.deposedBy, report.Seen)
		return
	}
	c.note(w, call, report, sent, received)
	c.observe(call, report)
}

func later(a, b domain.Token) domain.Token {
	if a.Less(b) {
		return b
	}
	return a
}

func (c *Core) note(w *workerState, call Call, report port.Report, sent, received time.Time) {
	if w.known && w.reading.Boot != report.Boot {
		// A worker that restarts forgets the tokens it has seen, so an earlier
		// planner may have been heard again: the wait begins anew.
		c.majority = time.Time{}
		w.rebooted = received
		c.noteReboot(w.spec.ID, received)
	}
	if !w.known || sent.After(w.reading.Sent) {
		w.reading = gang.ReadingOf(report, sent, received)
		w.known = true
	}
	if report.Refused == "" && sent.After(w.acked) {
		w.acked = sent
	}
	if call.Command.Verb == port.VerbClaim && report.Refused == "" && !w.claimed {
		w.claimed = true
		w.found = report.Members
		w.nextPoll = time.Time{}
	}
}

func (c *Core) unanswered(call Call) {
	gangID := call.Command.Gang
	if m := c.machineOf(gangID); m != nil {
		m.Unanswered(call.Worker.ID)
	}
	if closing, ok := c.closing[gangID]; ok {
		delete(closing.asked, call.Worker.ID)
	}
}

func (c *Core) machineOf(id domain.Incarnation) *gang.Machine {
	if m, ok := c.orphans[id]; ok {
		return m
	}
	if m, ok := c.machines[id.Job]; ok && m.Gang == id {
		return m
	}
	return nil
}

func (c *Core) observe(call Call, report port.Report) {
	command := call.Command
	if command.Verb == port.VerbForget {
		c.forgotten(command.Gang, call.Worker.ID, report)
		return
	}
	if command.Verb != port.VerbRenew {
		if m := c.machineOf(command.Gang); m != nil {
			m.Observe(call.Worker.ID, command, report, call.Granted)
		}
		return
	}
	for _, m := range c.machines {
		m.Observe(call.Worker.ID, command, report, call.Granted)
	}
	for _, m := range c.orphans {
		m.Observe(call.Worker.ID, command, report, call.Granted)
	}
}
