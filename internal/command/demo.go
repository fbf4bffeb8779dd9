package command

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/demo"
	platformdemo "github.com/cobalttide/cobalttide/platform/demo"
)

func demoCommand(ctx context.Context, env Env, args []string) error {
	f := newFlags(env, "demo")
	deployment := f.String("deployment", "midlands", "midlands or vestmark")
	faults := f.Bool("faults", false, "inject faults during the run")
	onPlatform := f.Bool("platform", false, "run the instances for the users' platform against a stand-in of it")
	root := f.String("deployments", "deployments", "directory of the deployments")
	if _, err := f.parse(args); err != nil {
		return err
	}
	if *onPlatform {
		return platformDemo(env, *faults)
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

// Size and time limit of the demo on the platform's stand-in.
const (
	platformInstances = 3
	platformJobs      = 40
	platformTimeout   = 2 * time.Minute
)

func platformDemo(env Env, faults bool) error {
	return platformdemo.Run(platformdemo.Options{
		Instances: platformInstances, Jobs: platformJobs, Faults: faults,
		Report: env.Out, Log: io.Discard, Timeout: platformTimeout,
	})
}
