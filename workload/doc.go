// Package workload holds the model of submitted jobs: ordered steps of tasks, their progress, and
// the book, which folds both from the log. It uses no clock and no network and contains no
// scheduling policy.
//
// Units: processors are in thousandths of a core, memory is in MiB, accelerators are whole
// devices, and times whose name ends in MS are milliseconds since 1970.
package workload
