package planner

import (
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/planner/gang"
	"github.com/cobalttide/cobalttide/port"
)

// HandleAnswer processes the answer to a call, or its error.
func (c *Core) HandleAnswer(call Call, report port.Report, err error, sent, received time.Time) {
	w, ok := c.workers[call.Worker.ID]
	if !ok {
		return
	}
	poll := call.Command.Verb == port.VerbClaim || call.Command.Verb == port.VerbRenew
	if poll {
		w.pending = false
	}
	if err != nil {
		c.handleUnanswered(call)
		return
	}
	if c.Token.Less(report.HighestToken) {
		c.deposed = true
		c.deposedBy = higherToken(c.deposedBy, report.HighestToken)
		return
	}
	c.recordAnswer(w, call, report, sent, received)
	c.observeReport(call, report)
}

func higherToken(a, b domain.Token) domain.Token {
	if a.Less(b) {
		return b
	}
	return a
}

func (c *Core) recordAnswer(w *workerState, call Call, report port.Report, sent, received time.Time) {
	if w.hasReading && w.reading.Boot != report.Boot {
		// A restarted worker has forgotten the tokens that it has seen and may have
		// accepted commands of an earlier planner since, so the takeover wait restarts.
		c.majoritySince = time.Time{}
		w.rebootSeen = received
		c.recordReboot(w.spec.ID, received)
	}
	if !w.hasReading || sent.After(w.reading.Sent) {
		w.reading = gang.ReadingOf(report, sent, received)
		w.hasReading = true
	}
	if report.Refused == "" && sent.After(w.lastAck) {
		w.lastAck = sent
	}
	if call.Command.Verb == port.VerbClaim && report.Refused == "" && !w.claimed {
		w.claimed = true
		w.foundMembers = report.Members
		w.nextPoll = time.Time{}
	}
}

func (c *Core) handleUnanswered(call Call) {
	gangID := call.Command.Gang
	if m := c.machineOf(gangID); m != nil {
		m.HandleUnanswered(call.Worker.ID)
	}
	if closing, ok := c.closing[gangID]; ok {
		delete(closing.pending, call.Worker.ID)
	}
}

func (c *Core) machineOf(id domain.Incarnation) *gang.Machine {
	if m, ok := c.orphans[id]; ok {
		return m
	}
	if m, ok := c.machines[id.Job]; ok && m.Incarnation == id {
		return m
	}
	return nil
}

func (c *Core) observeReport(call Call, report port.Report) {
	command := call.Command
	if command.Verb == port.VerbForget {
		c.handleForgotten(command.Gang, call.Worker.ID, report)
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
