package demo

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/cobalttide/cobalttide/domain"
)

// ClassReport counts the outcomes of one class.
type ClassReport struct {
	Class     domain.ClassName `json:"class"`
	Submitted int              `json:"submitted"`
	// Correct counts jobs that completed, and requests that got the answer to
	// themselves.
	Correct int `json:"correct"`
	Late    int `json:"late"`
	// Unknown counts jobs and requests with an unknown outcome.
	Unknown int `json:"unknown"`
	// Failed counts jobs that must not run twice and whose tasks failed.
	Failed  int                   `json:"failed"`
	Refused map[domain.Reason]int `json:"refused,omitempty"`
	P50     domain.Duration       `json:"p50"`
	P99     domain.Duration       `json:"p99"`
}

// Report is the result of a demo.
type Report struct {
	Classes []ClassReport `json:"classes"`
	// Fragmentation is the share of free accelerators, averaged over time, that the
	// largest guaranteed shape can't use.
	Fragmentation float64 `json:"fragmentation"`
	// Violations describes the broken invariants.
	Violations []string `json:"violations"`
}

// Rows returns the report as a table.
func (r Report) Rows() [][]string {
	rows := [][]string{{"CLASS", "SUBMITTED", "CORRECT", "LATE", "UNKNOWN", "FAILED", "REFUSED", "P50", "P99"}}
	for _, c := range r.Classes {
		rows = append(rows, []string{
			string(c.Class), fmt.Sprint(c.Submitted), fmt.Sprint(c.Correct), fmt.Sprint(c.Late), fmt.Sprint(c.Unknown), fmt.Sprint(c.Failed),
			formatRefusals(c.Refused), c.P50.Std().Round(100 * time.Microsecond).String(), c.P99.Std().Round(100 * time.Microsecond).String(),
		})
	}
	rows = append(rows, []string{fmt.Sprintf("fragmentation %.1f %%, broken invariants %d", 100*r.Fragmentation, len(r.Violations))})
	for _, v := range r.Violations {
		rows = append(rows, []string{"broken: " + v})
	}
	return rows
}

func formatRefusals(refused map[domain.Reason]int) string {
	if len(refused) == 0 {
		return "0"
	}
	reasons := make([]string, 0, len(refused))
	for reason, n := range refused {
		reasons = append(reasons, fmt.Sprintf("%s:%d", reason, n))
	}
	sort.Strings(reasons)
	return fmt.Sprint(reasons)
}

// report checks the responses to callers against what the backend servers ran, and
// returns the report of all classes.
func (l *load) report(w *watcher, faults bool) Report {
	l.checkRuns()
	r := Report{Fragmentation: w.fragmentation()}
	for class, t := range l.stats {
		r.Classes = append(r.Classes, ClassReport{
			Class: class, Submitted: t.submitted, Correct: t.correct, Late: t.late, Unknown: t.unknown, Failed: t.failed, Refused: t.refused,
			P50: micros(t.times.ValueAtQuantile(50)), P99: micros(t.times.ValueAtQuantile(99)),
		})
		if t.failed > 0 && l.c.declared.Classes[class].Idempotent {
			l.addViolation("%d of class %s failed although they could have been retried on another worker", t.failed, class)
		}
		if missed := t.submitted - t.correct; missed > 0 && !faults {
			l.addViolation("%d of class %s did not complete although no fault was injected", missed, class)
		}
	}
	sort.Slice(r.Classes, func(i, j int) bool { return r.Classes[i].Class < r.Classes[j].Class })
	r.Violations = append(append(r.Violations, w.violations...), l.violations...)
	return r
}

func micros(n int64) domain.Duration { return domain.Duration(time.Duration(n) * time.Microsecond) }

// checkRuns adds a violation for each request that must not run twice but did, and
// for each request that ran although its caller was told that it did not.
func (l *load) checkRuns() {
	ran := map[string]int{}
	for _, b := range l.c.platform.Backends() {
		for id, n := range b.RunCounts() {
			ran[id] += n
		}
	}
	for _, s := range l.requests {
		n := ran[string(s.account)+"/"+s.id]
		if n > 1 && !l.c.declared.Classes[s.class].Idempotent {
			l.addViolation("request %s of class %s ran %d times", s.id, s.class, n)
		}
		if n > 0 && s.notRun && !s.whole {
			l.addViolation("request %s of class %s ran although its caller was told that it did not", s.id, s.class)
		}
	}
}

func encode(v any) (string, error) {
	raw, err := json.Marshal(v)
	return string(raw), err
}
