// Package domain holds the types that every other package speaks: jobs, gangs,
// classes, workers, client accounts, leases and refusals. It has no behaviour
// that needs a clock, a network or a lock.
//
// Units: accelerators are whole devices, CPU is in whole cores, memory in MiB,
// durations are JSON strings such as "1m30s".
package domain
