package control_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// advisedCore returns a planner's core with n reachable workers and one job, whose queue has a
// policy.
func advisedCore(n int, at time.Time, step workload.Step) *control.Core {
	c := control.New(simBounds, 1, at)
	c.Configure(control.Configuration{Version: 1})
	var list []control.Listing
	for i := range n {
		list = append(list, control.Listing{ID: fmt.Sprintf("w%02d", i), Address: "a", Rack: "r", Capacity: need(8), ClockMS: 1000})
	}
	for i := range list {
		list[i].Capacity.MilliCPU = 8000
		list[i].Capacity.MemoryMiB = 8000
	}
	c.SetWorkers(list, at)
	for _, l := range list {
		c.HandleRenewal(control.RenewalOrder{Worker: l.ID, Token: 1}, control.RenewalAnswer{Result: control.Accepted, ClockMS: l.ClockMS}, at, at)
	}
	c.Adopt(jobA, workload.Entry{Job: &workload.Job{
		ID: jobA, Steps: []workload.Step{step},
		QueueSettings: workload.QueueSettings{MaxAttempts: 3, Stretch: 3, TargetMS: 60_000, Advice: &workload.Advice{DecideMS: 100, PerWorkerMS: 10, ValidMS: 2000}},
	}})
	return c
}

// round runs a round and returns its start orders.
func round(c *control.Core, at time.Time) []control.StartOrder {
	c.Round(at, at.UnixMilli())
	c.Changes()
	return c.Persisted(at)
}

// allow answers a call for advice: workers with an even number are allowed.
func allow(c *control.Core, o control.AdviceOrder, at time.Time) {
	good := map[string]string{}
	for _, id := range o.Workers {
		if strings.ContainsAny(id[2:], "02468") {
			good[id] = "ticket of " + id
		}
	}
	c.HandleAdvice(o, control.AdviceAnswer{OK: true, Tickets: good, ValidFor: 2 * time.Second}, at, at)
}

func TestAdvisedStepStartsOnlyOnAllowedWorkers(t *testing.T) {
	at := time.Unix(1000, 0)
	c := advisedCore(6, at, workload.Step{Count: 20, Need: need(1), EstimateMS: 1000})
	if orders := round(c, at); len(orders) != 0 {
		t.Fatalf("%d tasks were started before any advice", len(orders))
	}
	o, ok := c.NextAdviceOrder(at)
	if !ok || o.Step != string(jobA)+".0.0" || len(o.Workers) != 5 || o.ExpectedTime != 150*time.Millisecond {
		t.Fatalf("call %+v, %t: want 5 workers, which have capacity for twice the step", o, ok)
	}
	if _, twice := c.NextAdviceOrder(at); twice {
		t.Fatal("two concurrent calls")
	}
	allow(c, o, at)
	orders := round(c, at)
	if len(orders) != 20 {
		t.Fatalf("%d starts, want 20", len(orders))
	}
	for _, start := range orders {
		if start.Ticket != "ticket of "+start.Worker || !strings.ContainsAny(start.Worker[2:], "024") {
			t.Fatalf("start on %s with ticket %q", start.Worker, start.Ticket)
		}
	}
}

func TestAdviceIsRequestedUntilTheStepHasCapacity(t *testing.T) {
	at := time.Unix(1000, 0)
	c := advisedCore(80, at, workload.Step{Count: 100, Need: need(8), EstimateMS: 1000})
	round(c, at)
	called := map[string]bool{}
	for range 3 {
		o, ok := c.NextAdviceOrder(at)
		if !ok {
			break
		}
		if len(o.Workers) > 30 {
			t.Fatalf("%d workers in one call", len(o.Workers))
		}
		for _, id := range o.Workers {
			if called[id] {
				t.Fatalf("%s is in two calls", id)
			}
			called[id] = true
		}
		allow(c, o, at)
		round(c, at)
	}
	if len(called) != 80 {
		t.Fatalf("calls for %d of 80 workers", len(called))
	}
}

func TestExpiredOrRefusedTicketIsRequestedAgain(t *testing.T) {
	at := time.Unix(1000, 0)
	c := advisedCore(1, at, workload.Step{Count: 2, Need: need(8), EstimateMS: 1000})
	round(c, at)
	o, _ := c.NextAdviceOrder(at)
	allow(c, o, at)
	first := round(c, at)
	if len(first) != 1 {
		t.Fatalf("%d starts, want 1", len(first))
	}
	c.HandleStartAnswer(first[0], control.Answer{Result: control.NoTicket, ClockMS: 1000}, at)
	if orders := round(c, at); len(orders) != 0 {
		t.Fatal("started again with the ticket that was refused")
	}
	o, ok := c.NextAdviceOrder(at)
	if !ok {
		t.Fatal("no call for a new ticket after one was refused")
	}
	allow(c, o, at)
	late := at.Add(1900 * time.Millisecond)
	c.Round(late, late.UnixMilli())
	if orders := round(c, late); len(orders) != 0 {
		t.Fatal("started with a ticket that is about to expire")
	}
	if _, ok := c.NextAdviceOrder(late); !ok {
		t.Fatal("no call for a new ticket before one expires")
	}
}

func TestUnansweredAdviceCallIsRetriedAfterAPause(t *testing.T) {
	at := time.Unix(1000, 0)
	c := advisedCore(2, at, workload.Step{Count: 1, Need: need(1), EstimateMS: 1000})
	round(c, at)
	o, _ := c.NextAdviceOrder(at)
	c.HandleAdvice(o, control.AdviceAnswer{}, at, at)
	if _, ok := c.NextAdviceOrder(at); ok {
		t.Fatal("called again without a pause")
	}
	if _, ok := c.NextAdviceOrder(at.Add(time.Second)); !ok {
		t.Fatal("not called again after a second")
	}
}
