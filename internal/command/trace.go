package command

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/events"
)

// trace prints the events of one job from the logs of several instances.
func trace(_ context.Context, env Env, args []string) error {
	f := newFlags(env, "trace")
	all := f.Bool("all", false, "print also which instance planned, what was reachable and which configuration was in force")
	if err := f.Parse(args); err != nil {
		return errors.Mark(err, errUsage)
	}
	if f.NArg() == 0 {
		return errors.Mark(errors.New("name a job's id, then log files; without files the logs are read from standard input"), errUsage)
	}
	logs, closeAll, err := openLogs(f.Args()[1:])
	if err != nil {
		return err
	}
	defer closeAll()
	jobEvents, err := events.JobHistory(logs, f.Arg(0), *all)
	if err != nil {
		return err
	}
	if len(jobEvents) == 0 {
		return errors.Newf("no line names job %s; check the id, and that the logs of all instances are included", f.Arg(0))
	}
	return events.WriteLines(env.Out, jobEvents)
}

func openLogs(names []string) ([]io.Reader, func(), error) {
	if len(names) == 0 {
		return []io.Reader{os.Stdin}, func() {}, nil
	}
	var logs []io.Reader
	var files []*os.File
	closeAll := func() {
		for _, file := range files {
			_ = file.Close()
		}
	}
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, errors.Wrap(err, "a log can't be read; name readable files")
		}
		files = append(files, file)
		logs = append(logs, file)
	}
	return logs, closeAll, nil
}
