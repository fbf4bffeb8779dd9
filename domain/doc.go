// Package domain defines the types that all other packages share: jobs, gangs,
// classes, workers, client accounts, leases and refusals. Nothing in it needs a
// clock, a network or a lock.
//
// Units: accelerators are whole devices, CPU is in whole cores, memory in MiB,
// durations are JSON strings such as "1m30s".
package domain
