package events

// Name is the stable name of an event.
type Name string

// Events of an instance. docs/OPERATIONS.md lists those of the planner's core, with
// their fields.
const (
	// Started is written when a process starts, Stopping when it begins to shut
	// down, and Stopped when it has shut down.
	Started  Name = "started"
	Stopping Name = "stopping"
	Stopped  Name = "stopped"
	// SettingsReloaded: the settings file has changed and was applied.
	// SettingsRefused: it has changed and is invalid; the previous settings remain.
	SettingsReloaded Name = "settings-reloaded"
	SettingsRefused  Name = "settings-refused"
	// Suspended: this instance was suspended for a period that the runtime's clock does
	// not count; for_ms is its length, planning whether the instance was the planner.
	Suspended Name = "suspended"
	// DependencyLost and DependencyRegained: a topic of the log cannot be read, or
	// can be read again.
	DependencyLost     Name = "dependency-lost"
	DependencyRegained Name = "dependency-regained"
	// ConfigurationInForce: a version of the configuration has come into force.
	ConfigurationInForce Name = "configuration-in-force"
	// RecordUnreadable: a record of the log could not be decoded and was skipped.
	RecordUnreadable Name = "record-unreadable"
	// JobAccepted, JobRepeated, JobRefused and JobCancelled: answers to callers.
	JobAccepted  Name = "job-accepted"
	JobRepeated  Name = "job-repeated"
	JobRefused   Name = "job-refused"
	JobCancelled Name = "job-cancelled"
	// JobEndReported: this instance reported for the first time to a caller that a job has
	// ended.
	JobEndReported Name = "job-shown"
	// ClaimTaken, ClaimFailed, PlannerBegins and PlannerEnds: changes of the planner
	// role.
	ClaimTaken    Name = "claim-taken"
	ClaimFailed   Name = "claim-failed"
	PlannerBegins Name = "planner-begins"
	PlannerEnds   Name = "planner-ends"
	// DetailsDropped: this instance has discarded its records of acceptances and progress.
	DetailsDropped Name = "book-shed"
	// StandbyBegins and StandbyEnds: this instance starts or stops following a planner's
	// records in order to succeed it.
	StandbyBegins Name = "standby-begins"
	StandbyEnds   Name = "standby-ends"
	// PlannerTimings: the durations of planning rounds and writes in the last second.
	PlannerTimings Name = "planner-tempo"
	// AppendRepeated: an append of the planner has not succeeded for some time and is
	// repeated.
	AppendRepeated Name = "append-repeated"
	// WaveReported: the state of a maintenance wave was reported to operators.
	WaveReported Name = "wave-reported"
	// JobsForgotten: records of jobs that ended long ago were deleted.
	JobsForgotten Name = "jobs-forgotten"
	// LogUse: this instance's use of the log so far, by topic.
	LogUse Name = "log-use"
	// LinesLeftOut: lines were dropped because of the rate limit or a full queue.
	LinesLeftOut Name = "lines-left-out"
)
