package domain

// Resources is an amount of resources that a worker has or a task needs.
type Resources struct {
	// Accelerators is the number of whole accelerators.
	Accelerators int `json:"accelerators"`
	// CPU is the number of processor cores.
	CPU int `json:"cpu,omitempty"`
	// MemoryMiB is the amount of main memory in MiB.
	MemoryMiB int `json:"memory_mib,omitempty"`
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Accelerators + o.Accelerators, r.CPU + o.CPU, r.MemoryMiB + o.MemoryMiB}
}

// Sub returns r - o; its components may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Accelerators - o.Accelerators, r.CPU - o.CPU, r.MemoryMiB - o.MemoryMiB}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{r.Accelerators * n, r.CPU * n, r.MemoryMiB * n}
}

// FitsIn reports whether r fits into o in every component.
func (r Resources) FitsIn(o Resources) bool {
	return r.Accelerators <= o.Accelerators && r.CPU <= o.CPU && r.MemoryMiB <= o.MemoryMiB
}

// Count returns how many times unit fits into r, at most limit. Components that
// unit does not need do not limit the result.
func (r Resources) Count(unit Resources, limit int) int {
	n := limit
	n = limitBy(n, r.Accelerators, unit.Accelerators)
	n = limitBy(n, r.CPU, unit.CPU)
	return limitBy(n, r.MemoryMiB, unit.MemoryMiB)
}

// limitBy returns n, limited by how many times need fits into have.
func limitBy(n, have, need int) int {
	if have < 0 {
		return 0
	}
	if need <= 0 {
		return n
	}
	return min(n, have/need)
}

// IsZero reports whether all components are zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// HasNegative reports whether any component is negative.
func (r Resources) HasNegative() bool { return r.Accelerators < 0 || r.CPU < 0 || r.MemoryMiB < 0 }
