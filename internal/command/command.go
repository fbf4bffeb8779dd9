// Package command implements cobaltctl, with one file for each group of subcommands.
// Errors say how to proceed. Exit codes are documented in usage.
package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/domain"
)

// Exit codes of cobaltctl.
const (
	ExitOK = 0
	// ExitFailed means that the command failed or was refused.
	ExitFailed = 1
	// ExitUsage means that the command line was invalid.
	ExitUsage = 2
	// ExitConflict means that a newer configuration is in force.
	ExitConflict = 3
	// ExitUnknown means that the outcome is unknown; the command may be repeated.
	ExitUnknown = 4
)

// Env is the environment of a command.
type Env struct {
	Out, Err io.Writer
	// Getenv reads an environment variable: COBALTTIDE_ADDRESS, COBALTTIDE_TOKEN or USER.
	Getenv func(string) string
}

// subcommand is a subcommand of cobaltctl.
type subcommand struct {
	summary string
	example string
	run     func(ctx context.Context, env Env, args []string) error
}

var subcommands map[string]subcommand

func init() {
	subcommands = map[string]subcommand{
		"validate":   {"check declarations without an instance", "cobaltctl validate deployments/midlands/declarations", validate},
		"plan":       {"show what applying declarations would change", "cobaltctl plan deployments/midlands/declarations", planCommand},
		"apply":      {"make declarations the configuration", "cobaltctl apply deployments/midlands/declarations", apply},
		"get":        {"print the configuration in force", "cobaltctl get", get},
		"history":    {"list accepted configurations", "cobaltctl history -limit 5", history},
		"rollback":   {"apply an earlier version again", "cobaltctl rollback -to 3", rollback},
		"status":     {"describe an instance, its peers and its data centre", "cobaltctl status", status},
		"drain":      {"empty a worker, or put it back with -undo", "cobaltctl drain tyseley-hall-r0-w3", drain},
		"evacuate":   {"stop placing work in a data centre, or put it back in use with -undo", "cobaltctl evacuate tyseley-hall", evacuate},
		"token":      {"generate a token and the hash to declare", "cobaltctl token", token},
		"submit":     {"submit a gang job", `cobaltctl submit -id f1 -class restock-forecast -tasks 4 -accelerators 8 -adjacency same-rack -estimate 10s -payload '{"run":"5s"}'`, submit},
		"request":    {"send a request to a backend server", `cobaltctl request -id q1 -class trade-counter-quote -body '{"take":"20ms"}'`, request},
		"watch":      {"follow a job to its end", "cobaltctl watch f1", watch},
		"job":        {"print a job's status", "cobaltctl job f1", job},
		"cancel":     {"request that a job ends", "cobaltctl cancel f1", cancel},
		"explain":    {"show why a job waits", "cobaltctl explain f1", explain},
		"trace":      {"print the events of one job from instances' logs", "cobaltctl trace -all 43dc915dcf38ac94 edge-1.log edge-2.log", trace},
		"report":     {"report from instances' logs which jobs were late, what they waited for and which work was discarded", "cobaltctl report -plot late.svg edge-1.log edge-2.log", report},
		"experiment": {"simulate a load pattern under two policies and compare them", "cobaltctl experiment -pattern burst-urgent -a easy -b shipping -plots plots", experiment},
		"record":     {"create a load pattern for experiments from instances' logs", "cobaltctl record edge-1.log edge-2.log > day.jsonc", record},
		"demo":       {"run a whole deployment in one process", "cobaltctl demo -deployment midlands -faults", demoCommand},
	}
}

// Main runs cobaltctl and returns its exit code.
func Main(ctx context.Context, env Env, args []string) int {
	if len(args) == 0 || args[0] == "-h" || args[0] == "help" || args[0] == "--help" {
		usage(env.Err)
		return ExitUsage
	}
	sub, ok := subcommands[args[0]]
	if !ok {
		fmt.Fprintf(env.Err, "cobaltctl: no subcommand %q; run cobaltctl -h for the list\n", args[0])
		return ExitUsage
	}
	return exitCode(env, sub.run(ctx, env, args[1:]))
}

func exitCode(env Env, err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, flag.ErrHelp):
		return ExitUsage
	}
	fmt.Fprintln(env.Err, "cobaltctl:", err)
	if errors.Is(err, errUsage) {
		return ExitUsage
	}
	var refusal *domain.Refusal
	if errors.As(err, &refusal) {
		switch {
		case refusal.Reason == domain.ReasonConflict:
			return ExitConflict
		case refusal.Outcome == domain.Unknown:
			return ExitUnknown
		}
	}
	return ExitFailed
}

func usage(w io.Writer) {
	fmt.Fprintln(w, "cobaltctl drives cobalttide. Subcommands, each with -h:")
	fmt.Fprintln(w)
	names := make([]string, 0, len(subcommands))
	for name := range subcommands {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(w, "  %-10s %s\n", name, subcommands[name].summary)
	}
	fmt.Fprintln(w, "\nExit codes: 0 done, 1 failed or refused, 2 wrong command line, 3 a newer configuration is in force,")
	fmt.Fprintln(w, "4 the outcome is not known and the command may be repeated.")
	fmt.Fprintln(w, "The address and the token come from -address and -token, or from COBALTTIDE_ADDRESS and COBALTTIDE_TOKEN.")
}

var errUsage = errors.New("wrong command line")

// flags holds the flags that all subcommands share.
type flags struct {
	*flag.FlagSet
	address, token, output string
}

func newFlags(env Env, name string) *flags {
	f := &flags{FlagSet: flag.NewFlagSet(name, flag.ContinueOnError)}
	f.SetOutput(env.Err)
	f.StringVar(&f.address, "address", env.Getenv("COBALTTIDE_ADDRESS"), "IP and port of an instance")
	f.StringVar(&f.token, "token", env.Getenv("COBALTTIDE_TOKEN"), "bearer token; prefer COBALTTIDE_TOKEN, which is not visible in process lists")
	f.StringVar(&f.output, "o", "table", "output format: json or table")
	f.Usage = func() {
		fmt.Fprintf(env.Err, "cobaltctl %s: %s\n\n  %s\n\n", name, subcommands[name].summary, subcommands[name].example)
		f.PrintDefaults()
	}
	return f
}

// parse parses flags and operands in any order, and checks the number of operands
// and the output format.
func (f *flags) parse(args []string, operands ...string) ([]string, error) {
	var given []string
	for {
		if err := f.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return nil, err
			}
			return nil, errors.Mark(err, errUsage)
		}
		if f.NArg() == 0 {
			break
		}
		given = append(given, f.Arg(0))
		args = f.Args()[1:]
	}
	if len(given) != len(operands) {
		return nil, errors.Mark(errors.Newf("want %d operands (%s), got %d; run cobaltctl %s -h", len(operands), strings.Join(operands, ", "), len(given), f.Name()), errUsage)
	}
	if f.output != "json" && f.output != "table" {
		return nil, errors.Mark(errors.Newf("-o %s is unknown; use json or table", f.output), errUsage)
	}
	return given, nil
}

// print writes a result as JSON, or its rows as a table, as the flag -o selects.
func (f *flags) print(env Env, result any, rows [][]string) error {
	if f.output == "json" {
		encoder := json.NewEncoder(env.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	w := tabwriter.NewWriter(env.Out, 0, 8, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// Default returns the environment of the current process.
func Default() Env { return Env{Out: os.Stdout, Err: os.Stderr, Getenv: os.Getenv} }
