package control

// ReleaseRecorded lets the planner grant leases to workers that it has recorded as silent, as a
// mutant.
func (c *Core) ReleaseRecorded() { clear(c.silent.held) }
