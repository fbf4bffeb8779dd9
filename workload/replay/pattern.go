// Package replay runs a declared load with faults against the planner's real core and decisions,
// in virtual time on a model of workers. It measures what callers see: jobs in time, waits, wasted
// work, completion times and fragmentation. Two policies are compared on the same seeds.
package replay

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"github.com/cobalttide/cobalttide/workload"
)

// Pattern describes a load and the faults under it. The suffix of a field's name in the file gives
// the unit of a time.
type Pattern struct {
	Name string `json:"name"`
	// Extends names a pattern that supplies the fields missing in this one.
	Extends string `json:"extends,omitempty"`
	// Seconds is how long jobs arrive.
	Seconds  float64   `json:"seconds"`
	Workers  Workers   `json:"workers"`
	Bounds   Bounds    `json:"bounds"`
	Accounts []Account `json:"accounts"`
	Classes  []Class   `json:"classes"`
	Faults   []Fault   `json:"troubles"`
	// Jobs are recorded jobs, which are replayed in addition to the generated ones.
	Jobs []RecordedJob `json:"jobs,omitempty"`
}

// Workers describes the pool.
type Workers struct {
	Count int `json:"count"`
	// PerRack is the number of workers in a rack. Racks are assigned to data centres round-robin.
	PerRack      int   `json:"per_rack"`
	DataCentres  int   `json:"data_centres"`
	CPU          int64 `json:"cpu"`
	MemoryMiB    int64 `json:"memory_mib"`
	Accelerators int64 `json:"accelerators"`
	// Speeds are drawn uniformly from 1 - SpeedSpread to 1 + SpeedSpread.
	SpeedSpread float64 `json:"speed_spread"`
	// SlowShare of the workers take SlowFactor times as long as the others, permanently.
	SlowShare  float64 `json:"slow_share"`
	SlowFactor float64 `json:"slow_by"`
	// Speeds replaces the drawn speed of each worker by one of these, all equally likely; empty
	// does not.
	Speeds []float64 `json:"speeds,omitempty"`
}

// Bounds are the time limits and latencies of the deployment, in milliseconds.
type Bounds struct {
	LeaseMS      int64 `json:"lease_ms"`
	StopMS       int64 `json:"stop_ms"`
	GangMS       int64 `json:"gang_ms"`
	ReclaimMS    int64 `json:"reclaim_ms"`
	CheckpointMS int64 `json:"checkpoint_ms"`
	RestoreMS    int64 `json:"restore_ms"`
	// WriteMS is the latency of a write to the log, OrderMS the network latency of an order.
	WriteMS int64 `json:"write_ms"`
	OrderMS int64 `json:"order_ms"`
	// NoticeMS is the announced time before a planned departure; 0 is unknown.
	NoticeMS int64 `json:"notice_ms"`
	// RemoteFactor is the factor by which work takes longer away from its data or across racks.
	RemoteFactor float64 `json:"far_factor"`
}

// Account is a client account.
type Account struct {
	Name string `json:"name"`
	// Share is the account's share of the jobs, relative to the other accounts.
	Share float64 `json:"share"`
	// Guaranteed is the number of guaranteed accelerators.
	Guaranteed int64 `json:"guaranteed"`
}

// Distribution is a lognormal distribution, truncated at Max. Sigma 0 means the constant Mean.
type Distribution struct {
	Mean  float64 `json:"mean"`
	Sigma float64 `json:"spread"`
	Max   float64 `json:"max"`
}

// Class describes the jobs of one kind.
type Class struct {
	Name      string  `json:"name"`
	Priority  int     `json:"priority"`
	PerSecond float64 `json:"per_second"`
	// Value is the credit for a job that completes within its objective, LateValue for one within
	// three times the objective. The objective is Stretch times the duration of the job's critical
	// path, plus TargetMS.
	Value     float64      `json:"worth"`
	LateValue float64      `json:"late_worth"`
	Stretch   float64      `json:"stretch"`
	TargetMS  int64        `json:"target_ms"`
	Attempts  int          `json:"attempts"`
	Steps     Distribution `json:"steps"`
	Width     Distribution `json:"width"`
	RunMS     Distribution `json:"run_ms"`
	// TaskVariation is how much run times differ between tasks of a step, EstimateError how far
	// estimates are off; both are relative.
	TaskVariation float64 `json:"uneven"`
	EstimateError float64 `json:"estimate_off"`
	CPU           int64   `json:"cpu"`
	MemoryMiB     int64   `json:"memory_mib"`
	// Accelerators are the possible numbers of accelerators per task, one of which is drawn.
	Accelerators []int64 `json:"accelerators"`
	// Shares of the steps that are gangs, of the gangs that ask for one rack, of the steps
	// that save checkpoints and of those with data in a rack; shares of the tasks whose first run
	// fails, of the jobs that never succeed and of those that are cancelled.
	Gang          float64 `json:"gang"`
	SameRack      float64 `json:"one_rack"`
	Checkpoint    float64 `json:"checkpoint"`
	NearData      float64 `json:"near_data"`
	Failing       float64 `json:"failing"`
	NeverSucceeds float64 `json:"hopeless"`
	Cancelled     float64 `json:"cancelled"`
}

// Fault is a failure or a change of the load.
type Fault struct {
	Kind string  `json:"kind"`
	AtS  float64 `json:"at_s"`
	ForS float64 `json:"for_s"`
	// Class or Account selects the jobs whose rate changes by Factor.
	Class   string  `json:"class,omitempty"`
	Account string  `json:"account,omitempty"`
	Factor  float64 `json:"factor,omitempty"`
	// Share is the share of the workers or jobs that are affected.
	Share float64 `json:"share,omitempty"`
}

// Kinds of faults.
const (
	// Burst multiplies the arrival rate of a class or the share of an account by Factor.
	Burst = "burst"
	// RackLost removes all workers of a rack at once; replacements join at the end.
	RackLost = "rack-gone"
	// DataCentreUnreachable disconnects the workers of a data centre, which keep running under
	// their leases.
	DataCentreUnreachable = "data-centre-cut"
	// LogDown makes the log unavailable.
	LogDown = "store-away"
	// DrainNotices makes a share of the workers leave after the given time.
	DrainNotices = "notices"
	// Slow makes a share of the workers slower by Factor.
	Slow = "slow"
	// Grey makes every run fail that starts on a share of the workers.
	Grey = "grey"
	// Hang makes runs hang that start on a share of the workers.
	Hang = "hang"
	// Cancel cancels a share of the open jobs at once.
	Cancel = "cancel"
	// PlannerDown leaves the system without a planner until a successor takes over.
	PlannerDown = "planner-gone"
)

var faultKinds = []string{Burst, RackLost, DataCentreUnreachable, LogDown, DrainNotices, Slow, Grey, Hang, Cancel, PlannerDown}

// RecordedJob is a job taken from a log.
type RecordedJob struct {
	AtMS    int64           `json:"at_ms"`
	Class   string          `json:"class"`
	Account string          `json:"account"`
	Steps   []workload.Step `json:"steps"`
}

// PatternError reports an invalid field of a pattern and how to fix it.
type PatternError struct {
	Pattern, Field, Problem, Remedy string
}

// Error implements error.
func (e *PatternError) Error() string {
	return fmt.Sprintf("pattern %s: %s: %s; %s", e.Pattern, e.Field, e.Problem, e.Remedy)
}

//go:embed patterns/*.jsonc
var embedded embed.FS

const fileExtension = ".jsonc"

// Names lists the embedded patterns.
func Names() []string {
	entries, err := embedded.ReadDir("patterns")
	if err != nil {
		return nil
	}
	var out []string
	for _, e := range entries {
		out = append(out, strings.TrimSuffix(e.Name(), fileExtension))
	}
	return out
}

// Load reads an embedded pattern by name, or a pattern file.
func Load(name string) (*Pattern, error) {
	raw, err := read(name)
	if err != nil {
		return nil, err
	}
	p, err := parse(name, raw, nil)
	if err != nil {
		return nil, err
	}
	return p, p.validate()
}

func read(name string) ([]byte, error) {
	if slices.Contains(Names(), name) {
		return embedded.ReadFile(path.Join("patterns", name+fileExtension))
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, &PatternError{name, "name", err.Error(), "name a file or one of " + strings.Join(Names(), ", ")}
	}
	return raw, nil
}

// parse decodes a pattern on top of the patterns that it extends.
func parse(name string, raw []byte, ancestors []string) (*Pattern, error) {
	text, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return nil, &PatternError{name, "file", err.Error(), "write valid JSON; comments are allowed"}
	}
	header := struct {
		Extends string `json:"extends"`
	}{}
	if err := json.Unmarshal(text, &header); err != nil {
		return nil, &PatternError{name, "file", err.Error(), "write one JSON object"}
	}
	p := &Pattern{Name: name}
	if header.Extends != "" {
		if slices.Contains(ancestors, header.Extends) {
			return nil, &PatternError{name, "extends", "circular reference through extends", "extend one that does not lead back to this pattern"}
		}
		base, err := read(header.Extends)
		if err != nil {
			return nil, err
		}
		if p, err = parse(header.Extends, base, append(ancestors, name)); err != nil {
			return nil, err
		}
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(p); err != nil {
		return nil, &PatternError{name, strings.TrimPrefix(err.Error(), "json: "), "the field is not valid here", "use the fields that docs/OPERATIONS.md lists"}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, &PatternError{name, "file", "there is data after the object", "write one JSON object"}
	}
	return p, nil
}

func (p *Pattern) validate() error {
	invalid := func(field, problem, remedy string) error { return &PatternError{p.Name, field, problem, remedy} }
	for field, value := range map[string]float64{
		"seconds": p.Seconds, "workers.count": float64(p.Workers.Count), "workers.per_rack": float64(p.Workers.PerRack),
		"workers.data_centres": float64(p.Workers.DataCentres), "workers.accelerators": float64(p.Workers.Accelerators),
		"bounds.lease_ms": float64(p.Bounds.LeaseMS), "bounds.gang_ms": float64(p.Bounds.GangMS), "bounds.write_ms": float64(p.Bounds.WriteMS),
	} {
		if value <= 0 {
			return invalid(field, fmt.Sprintf("is %v", value), "set a value greater than 0")
		}
	}
	if len(p.Accounts) == 0 || len(p.Classes) == 0 {
		return invalid("accounts, classes", "at least one of the lists is empty", "name at least one of each")
	}
	for i, c := range p.Classes {
		if c.Name == "" || len(c.Accelerators) == 0 || c.RunMS.Mean <= 0 || c.Width.Mean < 1 || c.Attempts < 1 {
			return invalid(fmt.Sprintf("classes[%d]", i), "name, accelerators, run_ms, width or attempts is missing", "set a value for each")
		}
	}
	if p.Workers.SlowShare < 0 || p.Workers.SlowShare > 1 || (p.Workers.SlowShare > 0 && p.Workers.SlowFactor < 1) {
		return invalid("workers.slow_share, workers.slow_by", "the share is not between 0 and 1, or the factor is less than 1", "set a share from 0 to 1 and a factor of at least 1")
	}
	if len(p.Workers.Speeds) > 0 && slices.Min(p.Workers.Speeds) <= 0 {
		return invalid("workers.speeds", "a speed is not greater than 0", "set speeds greater than 0, or none")
	}
	for i, t := range p.Faults {
		field := fmt.Sprintf("troubles[%d]", i)
		if !slices.Contains(faultKinds, t.Kind) {
			return invalid(field+".kind", fmt.Sprintf("unknown kind %q", t.Kind), "use one of "+strings.Join(faultKinds, ", "))
		}
		if t.AtS < 0 || t.ForS < 0 || t.Share < 0 || t.Share > 1 {
			return invalid(field, "a time is negative, or the share is not between 0 and 1", "set times of at least 0 and a share from 0 to 1")
		}
	}
	return nil
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
