// Package requests holds the pipeline of short requests to backend servers, a stage
// a package: dispatch takes a request through them all; limit admits it, routing chooses
// the backend server, retry says whether it may be tried again, and attempt keeps the
// ledger by which one that is not idempotent runs at most once.
package requests
