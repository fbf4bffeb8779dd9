package command

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/workload/replay"
)

// experiment simulates a load pattern under two policies with the same seeds.
func experiment(_ context.Context, env Env, args []string) error {
	f := newFlags(env, "experiment")
	pattern := f.String("pattern", "burst-urgent", "a file, or one of "+strings.Join(replay.Names(), ", "))
	a := f.String("a", replay.Easy, "the first policy: shipping, before, easy, fifo, or without=MECHANISM,...")
	b := f.String("b", replay.Default, "the second policy")
	first := f.Uint64("seed", 1, "the first seed")
	seeds := f.Int("seeds", 20, "number of seeds")
	plots := f.String("plots", "", "directory for plots of queue, free capacity and starts over time")
	each := f.Bool("each", false, "print every run")
	if _, err := f.parse(args); err != nil {
		return err
	}
	if *seeds < 1 {
		return errors.Mark(errors.New("-seeds must be at least 1"), errUsage)
	}
	p, err := replay.Load(*pattern)
	if err != nil {
		return err
	}
	policyA, err := replay.ParsePolicy(*a)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	policyB, err := replay.ParsePolicy(*b)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	e := replay.Compare(p, policyA, policyB, *first, *seeds)
	if *each {
		for _, r := range append(e.A, e.B...) {
			if err := r.Write(env.Out); err != nil {
				return err
			}
			fmt.Fprintln(env.Out)
		}
	}
	if *plots != "" {
		if err := e.WritePlots(*plots); err != nil {
			return errors.Wrap(err, "the plots can't be written; name a writable directory")
		}
	}
	return e.Write(env.Out)
}

// record prints a load pattern that it reconstructs from instances' logs.
func record(_ context.Context, env Env, args []string) error {
	lines, err := newFlags(env, "record").readLogs(args)
	if err != nil {
		return err
	}
	p, err := replay.PatternFromLogs(lines)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(env.Out)
	encoder.SetIndent("", " ")
	return encoder.Encode(p)
}
