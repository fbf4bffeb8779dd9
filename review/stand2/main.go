// Command stand2 plays the scripts of the second review. It starts the project's own program as
// separate processes against the stand-ins of the platform, plays one case, and judges what
// clients, workers and the platform have seen.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// Exit codes of a script.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notPlayed  = 2
)

// maxTime is the longest time that a script takes.
const maxTime = 115 * time.Second

// workFunc returns what a run does.
type workFunc func(id workload.TaskID, run int64, worker string) workertest.Work

// scenario is one case. Its play returns how the rule was broken, or nothing, or an error if the
// case could not be played.
type scenario struct {
	// work returns what runs do; if it is nil, each takes its step's estimate.
	work func(trouble bool) workFunc
	// writes is the number of writing calls a second in the settings at first; 0 is the file's.
	writes int
	play   func(d *deployment, jobs map[string]jobFile, trouble bool) ([]string, error)
}

var scenarios = map[string]scenario{
	"evacuated": {play: playEvacuated},
	"topics":    {play: playTopics},
	"lowered":   {play: playLowered, writes: raisedWrites},
	"avoided":   {play: playAvoided},
	"unstable":  {play: playUnstable},
	"crashes":   {work: crashingWork, play: playCrashes},
	"spread":    {play: playSpread},
	"wave":      {play: playWave},
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	namesFile := flag.String("names", "review/stand2/platform.json", "the platform's names, configuration and settings")
	jobsFile := flag.String("jobs", "", "the jobs of the case")
	program := flag.String("program", "target/cobalttide-entry", "the project's program")
	recordFile := flag.String("record", "", "where to write what was sent, answered and run")
	logs := flag.String("logs", "", "directory for the processes' logs; a temporary one if empty")
	flag.Parse()
	s, known := scenarios[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return notPlayed
	}
	findings, err := play(s, *namesFile, *jobsFile, *program, *recordFile, *logs)
	switch {
	case err != nil:
		fmt.Println("not played:", err)
		return notPlayed
	case len(findings) > 0:
		for _, f := range findings {
			fmt.Println("broken:", f)
		}
		return ruleBroken
	}
	fmt.Println("held")
	return ruleHeld
}

func play(s scenario, namesFile, jobsFile, program, recordFile, logs string) ([]string, error) {
	trouble := os.Getenv("TROUBLE") != "0"
	raw, err := os.ReadFile(jobsFile)
	if err != nil {
		return nil, err
	}
	jobs := map[string]jobFile{}
	if err := json.Unmarshal(raw, &jobs); err != nil {
		return nil, err
	}
	out, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	dir := logs
	if dir == "" {
		if dir, err = os.MkdirTemp("", "stand2"); err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
	}
	record := &recorder{out: out, start: time.Now()}
	record.printf("trouble: %t", trouble)
	var work workFunc
	if s.work != nil {
		work = s.work(trouble)
	}
	d, err := newDeployment(namesFile, program, dir, record, work, s.writes)
	if d != nil {
		defer d.stop()
		go endEarly(d)
	}
	if err != nil {
		return nil, err
	}
	findings, err := s.play(d, jobs, trouble)
	d.recordRuns()
	for _, f := range findings {
		record.printf("broken: %s", f)
	}
	return findings, err
}

// endEarly ends all processes when the script is ended or takes too long.
func endEarly(d *deployment) {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-ended:
	case <-time.After(maxTime):
	}
	d.killAll()
	os.Exit(notPlayed)
}
