// Package service is one instance's part in scheduling submitted jobs: it
// accepts and cancels them by writing to the log, reads the log to answer what
// became of them, and plays the planner while it holds the claim.
//
// All instances are alike and keep nothing. Every record holds the whole of
// what its key names, so the newest record of each key is a snapshot, and an
// instance that starts, or that the log has outrun, reads that and goes on.
package service
