// Package workload holds the model of submitted jobs: steps of tasks in an
// order, their progress, and the book that folds both from the log. It has no
// clock, no network and no policy.
//
// Units: processors are in thousandths of a core, memory in MiB, accelerators
// are whole devices, times are milliseconds since 1970 where their name ends
// in MS.
package workload
