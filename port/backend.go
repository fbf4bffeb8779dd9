package port

// The headers between instances and backend servers.
const (
	// HeaderID carries the request's id both ways; an answer with another id
	// is not the caller's.
	HeaderID = "Cobalttide-Request-Id"
	// HeaderAccount carries the client account.
	HeaderAccount = "Cobalttide-Account"
	// HeaderDeadline carries the time left, in milliseconds.
	HeaderDeadline = "Cobalttide-Deadline-Ms"
	// HeaderNotRun is a backend server's own word that it did not run it.
	HeaderNotRun = "Cobalttide-Not-Run"
	// HeaderLeaving is its word that it is leaving.
	HeaderLeaving = "Cobalttide-Leaving"
	// HeaderLoad is its count of requests in work and waiting.
	HeaderLoad = "Cobalttide-Load"
	// HeaderEnd is the trailer that ends an answer of unknown length; it
	// repeats the id.
	HeaderEnd = "Cobalttide-End"
)
