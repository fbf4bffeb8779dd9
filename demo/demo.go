package demo

import (
	"context"
	"io"
)

type Options struct {
	Root, Deployment string
	Faults           bool
	Progress         io.Writer
}
type Report struct{ Violations []string }

func (r Report) Rows() [][]string                        { return nil }
func Run(ctx context.Context, o Options) (Report, error) { return Report{}, nil }
