package command

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/events"
	logreport "github.com/cobalttide/cobalttide/events/report"
)

// report prints from the logs of a deployment's instances what limited it.
func report(_ context.Context, env Env, args []string) error {
	f := newFlags(env, "report")
	plot := f.String("plot", "", "file for a plot of late jobs by second; its extension (svg, png, pdf) selects the format")
	lines, err := f.readLogs(args)
	if err != nil {
		return err
	}
	made := logreport.Make(lines)
	if made.From.IsZero() {
		return errors.New("the logs contain no line of an instance; name the files that hold its standard output")
	}
	if *plot != "" {
		if err := made.Plot(*plot); err != nil {
			return errors.Wrap(err, "the plot can't be written; name a writable file ending in svg, png or pdf")
		}
	}
	return made.Write(env.Out)
}

// readLogs parses flags and reads the log files that the operands name, or standard
// input if there are none.
func (f *flags) readLogs(args []string) ([]events.Line, error) {
	if err := f.Parse(args); err != nil {
		return nil, errors.Mark(err, errUsage)
	}
	logs, closeAll, err := openLogs(f.Args())
	if err != nil {
		return nil, err
	}
	defer closeAll()
	return events.ReadLines(logs)
}
