package events

// Name is the stable name of an event.
type Name string

// The events of an instance. Those of the planner's core are listed in
// docs/OPERATIONS.md with the fields that they carry.
const (
	// Started and Stopping frame the life of a process.
	Started  Name = "started"
	Stopping Name = "stopping"
	Stopped  Name = "stopped"
	// SettingsReloaded: the settings file has changed and was taken over.
	// SettingsRefused: it has changed and is wrong; the settings before hold on.
	SettingsReloaded Name = "settings-reloaded"
	SettingsRefused  Name = "settings-refused"
	// Suspended: this instance stood still for a while that the runtime's clock does not
	// count; for_ms is how long, planning whether it held the planner's role.
	Suspended Name = "suspended"
	// DependencyLost and DependencyRegained: a topic of the log can't be read,
	// or can be read again.
	DependencyLost     Name = "dependency-lost"
	DependencyRegained Name = "dependency-regained"
	// ConfigurationInForce: a version was taken over.
	ConfigurationInForce Name = "configuration-in-force"
	// RecordUnreadable: a record of the log was passed over.
	RecordUnreadable Name = "record-unreadable"
	// JobAccepted, JobRepeated, JobRefused, JobCancelled: answers to callers.
	JobAccepted  Name = "job-accepted"
	JobRepeated  Name = "job-repeated"
	JobRefused   Name = "job-refused"
	JobCancelled Name = "job-cancelled"
	// JobShown: a caller was told here for the first time that a job is over.
	JobShown Name = "job-shown"
	// ClaimTaken, ClaimFailed, PlannerBegins, PlannerEnds: the planner's role.
	ClaimTaken    Name = "claim-taken"
	ClaimFailed   Name = "claim-failed"
	PlannerBegins Name = "planner-begins"
	PlannerEnds   Name = "planner-ends"
	// BookShed: this instance has let go of acceptances and progress.
	BookShed Name = "book-shed"
	// StandbyBegins, StandbyEnds: this instance reads what a planner writes, to succeed it.
	StandbyBegins Name = "standby-begins"
	StandbyEnds   Name = "standby-ends"
	// PlannerTempo: how long rounds and writes took in the last second.
	PlannerTempo Name = "planner-tempo"
	// AppendRepeated: the planner's append had no answer for some time.
	AppendRepeated Name = "append-repeated"
	// WaveReported: operators were told the state of a wave of maintenance.
	WaveReported Name = "wave-reported"
	// JobsForgotten: records of jobs that ended long ago were dropped.
	JobsForgotten Name = "jobs-forgotten"
	// LogUse: what this instance has asked of the log so far, by topic.
	LogUse Name = "log-use"
	// LinesLeftOut: lines went over the budget or had no room.
	LinesLeftOut Name = "lines-left-out"
)
