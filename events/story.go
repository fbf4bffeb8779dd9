package events

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is one event that was read back from a log.
type Line struct {
	At       time.Time
	Instance string
	Event    Name
	Fields   map[string]any
}

// globalEvents are the events that concern every job: changes of the planner, of the
// reachability of dependencies, and of the configuration in force.
var globalEvents = map[Name]bool{
	PlannerBegins: true, PlannerEnds: true, ConfigurationInForce: true,
	DependencyLost: true, DependencyRegained: true, Started: true, Stopping: true,
}

// maxLineLength is the maximum length of a log line in bytes.
const maxLineLength = 1 << 20

// ReadLines reads the events in the logs of instances and returns them ordered by time.
// Each line may have text before its JSON; lines that are not events are skipped.
func ReadLines(logs []io.Reader) ([]Line, error) {
	var out []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineLength)
		for scanner.Scan() {
			if line, ok := parseLine(scanner.Bytes()); ok {
				out = append(out, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.At.Compare(b.At) })
	return out, nil
}

// JobHistory returns the history of one job, ordered by time: its own events and, if all
// is set, the events between its first and last that concern every job.
func JobHistory(logs []io.Reader, job string, all bool) ([]Line, error) {
	lines, err := ReadLines(logs)
	if err != nil {
		return nil, err
	}
	var own []Line
	for _, l := range lines {
		if l.Fields["job"] == job {
			own = append(own, l)
		}
	}
	if len(own) == 0 || !all {
		return own, nil
	}
	first, last := own[0].At, own[len(own)-1].At
	var out []Line
	for _, l := range lines {
		within := !l.At.Before(first) && !l.At.After(last)
		if l.Fields["job"] == job || (globalEvents[l.Event] && within) {
			out = append(out, l)
		}
	}
	return out, nil
}

func parseLine(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(text[start:], &fields) != nil {
		return Line{}, false
	}
	at, err := time.Parse(TimeFormat, fmt.Sprint(fields["time"]))
	if err != nil {
		return Line{}, false
	}
	line := Line{At: at, Instance: fmt.Sprint(fields["instance"]), Event: Name(fmt.Sprint(fields["msg"])), Fields: fields}
	for _, name := range []string{"time", "instance", "msg", "level"} {
		delete(fields, name)
	}
	return line, true
}

// WriteLines writes the lines of a story, each with the time since the first.
func WriteLines(out io.Writer, story []Line) error {
	for _, l := range story {
		names := make([]string, 0, len(l.Fields))
		for name := range l.Fields {
			if name != "job" {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		var text strings.Builder
		for _, name := range names {
			fmt.Fprintf(&text, " %s=%v", name, l.Fields[name])
		}
		if _, err := fmt.Fprintf(out, "%+9.3fs %-24s %-22s%s\n", l.At.Sub(story[0].At).Seconds(), l.Instance, l.Event, text.String()); err != nil {
			return err
		}
	}
	return nil
}
