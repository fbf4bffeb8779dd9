// Package control carries out decisions on workers: it orders starts and stops,
// holds what runs under leases, takes note of ends and writes what it intends
// to the log before it orders anything.
//
// Core is a state machine without clock, network or goroutine: every method
// takes the time, and what is to be sent or written is handed out. Runner is
// the thin part that does both. That split lets the properties be tested over
// random interleavings of answers that come late, twice or never.
//
// What keeps it safe:
//
//   - A start is written to the log before it is ordered, so that a successor
//     knows which worker may run what.
//   - An ordered task is taken for running until it is seen to have ended, its
//     worker has lost it for good, or the worker's lease must have lapsed.
//   - The end of a task is written to the log before its worker is told that
//     it may forget it.
//   - Orders carry the planner's fencing token and a deadline on the worker's
//     own clock, so that an order that comes late does no harm.
package control
