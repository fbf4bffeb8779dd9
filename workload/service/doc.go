// Package service implements the part of one instance in scheduling submitted jobs. The
// instance accepts and cancels jobs by writing to the log, reads the log to answer queries
// about their state, and acts as the planner while it holds the planner's claim.
//
// All instances are alike and store nothing locally. Each record holds the complete state of
// its key, so the newest records of all keys form a snapshot. An instance that starts, or that
// has fallen behind the records that the log still keeps, reads the snapshot and continues from
// there.
package service
