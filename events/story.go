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

// background events concern every job: who plans, what can be reached and which
// configuration is in force.
var background = map[Name]bool{
	PlannerBegins: true, PlannerEnds: true, ConfigurationInForce: true,
	DependencyLost: true, DependencyRegained: true, Started: true, Stopping: true,
}

// longestLine bounds a line of a log.
const longestLine = 1 << 20

// Lines reads the events of logs of instances, which may have text before each
// line's JSON, in the order of their times.
func Lines(logs []io.Reader) ([]Line, error) {
	var out []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, longestLine)
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

// Story returns what concerns one job, in order: its own events, and between its
// first and last those that concern every job, where all is set.
func Story(logs []io.Reader, job string, all bool) ([]Line, error) {
	lines, err := Lines(logs)
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
		if l.Fields["job"] == job || (background[l.Event] && within) {
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

// Format writes a story's lines with the time since its first.
func Format(out io.Writer, story []Line) error {
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
