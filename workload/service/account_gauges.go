package service

import (
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload/control"
)

// accountGaugesInterval is how often the gauges of client accounts are set: there are hundreds, and
// in every round they would take a noticeable part of it.
const accountGaugesInterval = time.Second

// updateAccountGauges sets the gauges of client accounts if they are due. Without statuses there are
// no gauges, for example because capacity is not divided.
func (p *planner) updateAccountGauges(now time.Time) {
	if p.s.metrics == nil || now.Sub(p.accountGaugesAt) < accountGaugesInterval {
		return
	}
	p.accountGaugesAt = now
	p.s.metrics.SetAccountGauges(accountGauges(p.core.AccountStatuses()))
}

func accountGauges(statuses map[domain.AccountID]control.AccountStatus) map[string]map[string]float64 {
	out := make(map[string]map[string]float64, len(statuses))
	for id, s := range statuses {
		out[string(id)] = map[string]float64{
			"guaranteed_accelerators": float64(s.Guaranteed), "use": s.Use, "level": s.Level, "waiting_tasks": float64(s.Waiting),
		}
	}
	return out
}
