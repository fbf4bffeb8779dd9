package control

// ReleaseRecorded lets the planner grant leases to workers that it has recorded as silent, as a
// mutant.
func (c *Core) ReleaseRecorded() { clear(c.silent.held) }

// OpenOrderedHosts has the planner forget which workers run on the hosts whose maintenance is ordered,
// so that they get new work.
func (c *Core) OpenOrderedHosts() {
	for _, v := range c.waves {
		for host, phase := range v.phases {
			if phase == hostOrdered && c.hosts != nil {
				v.workers[host] = ""
				c.hosts[host] = HostListing{Host: host, Up: c.hosts[host].Up}
			}
		}
	}
}
