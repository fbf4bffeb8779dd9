package port

// Headers and trailers between instances and backend servers.
const (
	// HeaderID carries the request id in both directions; an answer with another id
	// belongs to another request.
	HeaderID = "Cobalttide-Request-Id"
	// HeaderAccount carries the client account.
	HeaderAccount = "Cobalttide-Account"
	// HeaderDeadline carries the time until the deadline, in milliseconds.
	HeaderDeadline = "Cobalttide-Deadline-Ms"
	// HeaderNotRun is set by a backend server that did not run the request.
	HeaderNotRun = "Cobalttide-Not-Run"
	// HeaderLeaving is set by a backend server that is leaving.
	HeaderLeaving = "Cobalttide-Leaving"
	// HeaderLoad carries the backend server's count of running and queued requests.
	HeaderLoad = "Cobalttide-Load"
	// HeaderEnd is the trailer that ends an answer of unknown length; its value is
	// the request id.
	HeaderEnd = "Cobalttide-End"
)
