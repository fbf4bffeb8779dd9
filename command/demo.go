package command

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/demo"
)

func demoCommand(ctx context.Context, env Env, args []string) error {
	f := newFlags(env, "demo")
	deployment := f.String("deployment", "midlands", "midlands or vestmark")
	faults := f.Bool("faults", false, "kill, cut, lose and fail things meanwhile")
	root := f.String("deployments", "deployments", "directory of the deployments")
	if _, err := f.parse(args); err != nil {
		return err
	}
	report, err := demo.Run(ctx, demo.Options{Root: *root, Deployment: *deployment, Faults: *faults, Progress: env.Err})
	if err != nil {
		return err
	}
	if err := f.print(env, report, report.Rows()); err != nil {
		return err
	}
	if len(report.Violations) > 0 {
		return errors.Newf("%d invariants were broken; the first: %s", len(report.Violations), report.Violations[0])
	}
	return nil
}
