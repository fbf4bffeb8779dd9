// Command stand3 plays the scripted cases of the third review: the project's own program in separate
// processes, against the project's stand-in of the platform.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// scenario plays one case. It returns a description of how the rule was broken, or "".
type scenario func(d *deployment, trouble bool) (broken string, err error)

// The size of every case.
const (
	instances = 3
	workers   = 24
)

var scenarios = map[string]scenario{
	"beside":      playBeside,
	"data":        playData,
	"hopeless":    playHopeless,
	"maintenance": playMaintenance,
	"reserved":    playReserved,
}

func main() {
	name := flag.String("case", "", "the case to play")
	out := flag.String("record", "record.txt", "the file to write to")
	names := flag.String("names", "review/stand3/names.json", "the platform's names, settings and bodies")
	program := flag.String("program", "target/cobalttide-entry", "the program of the deploy file")
	variable := flag.String("variable", "", "the environment variable with the path of the settings file")
	trouble := flag.Bool("trouble", true, "whether to make the disruption")
	flag.Parse()
	os.Exit(run(*name, *out, *names, *program, *variable, *trouble))
}

func run(name, out, names, program, variable string, trouble bool) int {
	play, known := scenarios[name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitCannotRun
	}
	d, err := newDeployment(out, names, program, variable, instances, workers)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer d.stop()
	broken, err := d.playWithin(play, trouble)
	d.recordEvents()
	switch {
	case err != nil:
		d.note("could not run: %v", err)
		return exitCannotRun
	case broken != "":
		d.note("BROKEN: %s", broken)
		return exitBroken
	}
	d.note("held")
	return exitHeld
}

// maxPlay is how long a case may take. All processes are ended by then.
const maxPlay = 105 * time.Second

var errCutShort = errors.New("the case was cut short")

// playWithin plays a case until it ends, takes too long, or this process is told to end.
func (d *deployment) playWithin(play scenario, trouble bool) (broken string, err error) {
	type outcome struct {
		broken string
		err    error
	}
	played := make(chan outcome, 1)
	go func() {
		broken, err := play(d, trouble)
		played <- outcome{broken, err}
	}()
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	select {
	case o := <-played:
		return o.broken, o.err
	case <-told:
	case <-time.After(maxPlay):
	}
	return "", errCutShort
}
