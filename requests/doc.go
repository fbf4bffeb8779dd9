// Package requests contains the pipeline that sends short requests to backend servers,
// one package per stage: dispatch runs a request through all stages, limit admits it,
// routing chooses the backend server, retry bounds its retries, and attempt maintains the
// ledger that ensures that a request which is not idempotent runs at most once.
package requests
