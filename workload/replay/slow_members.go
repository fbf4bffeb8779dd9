package replay

import "github.com/cobalttide/cobalttide/workload/control"

// gangStarts counts the started gangs of a class, and those with a member on a slow worker.
type gangStarts struct{ all, slow int }

// countGangs counts the gangs among start orders that are sent together.
func (m *collector) countGangs(starts []control.StartOrder) {
	slow := map[gangRun]bool{}
	for _, o := range starts {
		if step, _ := m.sim.step(o.Task); step.Gang {
			key := gangRunOf(o.Task, o.Run)
			slow[key] = slow[key] || m.sim.workers[o.Worker].isSlow()
		}
	}
	for key, hasSlow := range slow {
		count := m.gangs[m.sim.jobs[key.key.Job].class]
		count.all++
		if hasSlow {
			count.slow++
		}
		m.gangs[m.sim.jobs[key.key.Job].class] = count
	}
}

// slowSpeed is the speed below which a worker counts as slow; the usual speed is 1.
const slowSpeed = 0.9

func (w *simWorker) isSlow() bool { return w.speed/w.slowdown < slowSpeed }

// SlowGangShare returns the share of the class's gangs that started with a member on a slow worker.
func (c ClassResult) SlowGangShare() float64 { return float64(c.SlowGangs) / max(1, float64(c.Gangs)) }
