// Package control carries out placement decisions on workers: it orders starts and stops, renews
// the leases of what is running, records ends, and writes its decisions to the log before it
// sends any order.
//
// Core is a state machine without clock, network or goroutines: every method takes the current
// time, and returns what is to be sent or written. Package workload/service does both. So its
// properties can be tested over random interleavings of answers that are late, lost or repeated.
//
// What makes it safe:
//
//   - A start is written to the log before it is ordered, so that a successor knows which worker
//     may be running what.
//   - An ordered run is taken to be running until it is reported as ended, its worker has lost it
//     for good, or the worker's lease must have expired.
//   - The end of a run is written to the log before its worker may forget it.
//   - Orders carry the planner's fencing token and a deadline by the worker's own clock, so that
//     a late order does no harm.
package control
